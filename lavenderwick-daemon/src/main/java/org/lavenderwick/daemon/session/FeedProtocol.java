package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import org.lavenderwick.core.failover.LeaseConfirmation;

/**
 * The line protocol in which a daemon sends store changes to other daemons. A subscriber sends the store revision that
 * it has. The first batch holds the changes since then, or the whole content of the store if the sender no longer has
 * these changes. Each later batch holds the changes since the one before. Every batch, even an empty one, ends with a
 * line that carries its revision and age.
 *
 * <p>A subscriber may ask the sender to confirm the lease of the term record. Requests are numbered, so that a late
 * response is not taken for the response to a later request.
 */
public final class FeedProtocol {

    /** Line before a batch that holds the whole content of the store. */
    public static final String SNAPSHOT_START = "EVERYTHING";

    private static final String SUBSCRIBE_PREFIX = "FOLLOW ";

    private static final String CHANGE_PREFIX = "CHANGE ";

    private static final String BATCH_END_PREFIX = "UPTO ";

    private static final int BATCH_END_WORDS = 3;

    private static final String CONFIRM_PREFIX = "CONFIRM ";

    private static final String CONFIRMED_PREFIX = "CONFIRMED ";

    private static final int CONFIRMED_WORDS = 4;

    /**
     * The line that ends a batch.
     *
     * @param revision the store revision after the changes of the batch
     * @param age time since the store was last known to have no later changes; sent in whole milliseconds
     */
    public record BatchEnd(long revision, Duration age) {}

    private FeedProtocol() {}

    /** Returns the line that subscribes to changes after a revision; a negative revision requests the whole content. */
    public static String formatSubscription(long revision) {
        return SUBSCRIBE_PREFIX + revision;
    }

    /** Returns the revision that a subscriber has; empty if the line is not a valid subscription. */
    static Optional<Long> parseSubscription(String line) {
        return line.startsWith(SUBSCRIBE_PREFIX)
                ? Optional.ofNullable(Longs.tryParse(line.substring(SUBSCRIBE_PREFIX.length())))
                : Optional.empty();
    }

    /** Returns the line that carries an encoded change. */
    static String formatChange(String encoded) {
        return CHANGE_PREFIX + encoded;
    }

    /** Returns the line that ends a batch. */
    static String formatBatchEnd(long revision, Duration age) {
        return BATCH_END_PREFIX + revision + " " + age.toMillis();
    }

    /** Returns the encoded change that a line carries; empty if the line carries none. */
    public static Optional<String> parseChange(String line) {
        return line.startsWith(CHANGE_PREFIX) ? Optional.of(line.substring(CHANGE_PREFIX.length())) : Optional.empty();
    }

    /** Returns the parsed end of a batch; empty if the line is not a valid one. */
    public static Optional<BatchEnd> parseBatchEnd(String line) {
        List<String> words = Splitter.on(' ').splitToList(line);
        if (!line.startsWith(BATCH_END_PREFIX) || words.size() != BATCH_END_WORDS) {
            return Optional.empty();
        }
        Long revision = Longs.tryParse(words.get(1));
        Long millis = Longs.tryParse(words.get(2));
        return revision == null || millis == null || millis < 0
                ? Optional.empty()
                : Optional.of(new BatchEnd(revision, Duration.ofMillis(millis)));
    }

    /** The response to a request for a confirmation, with the number of the request. */
    public record Confirmed(long request, LeaseConfirmation confirmation) {}

    /** Returns the line that requests a confirmation. */
    public static String formatConfirmationRequest(long request) {
        return CONFIRM_PREFIX + request;
    }

    /** Returns the number of a request for a confirmation; empty if the line is not a valid one. */
    static Optional<Long> parseConfirmationRequest(String line) {
        return line.startsWith(CONFIRM_PREFIX)
                ? Optional.ofNullable(Longs.tryParse(line.substring(CONFIRM_PREFIX.length())))
                : Optional.empty();
    }

    /** Returns the line that carries a confirmation; its age is sent in milliseconds, rounded up. */
    static String formatConfirmed(long request, LeaseConfirmation confirmation) {
        return CONFIRMED_PREFIX + request + " " + confirmation.lease() + " "
                + (confirmation.age().toMillis() + 1);
    }

    /** Returns the parsed confirmation; empty if the line is not a valid one. */
    public static Optional<Confirmed> parseConfirmed(String line) {
        if (!line.startsWith(CONFIRMED_PREFIX)) {
            return Optional.empty();
        }
        List<String> words = Splitter.on(' ').splitToList(line);
        if (words.size() != CONFIRMED_WORDS) {
            return Optional.empty();
        }
        Long request = Longs.tryParse(words.get(1));
        Long lease = Longs.tryParse(words.get(2));
        Long millis = Longs.tryParse(words.get(CONFIRMED_WORDS - 1));
        return request == null || lease == null || millis == null || millis < 0
                ? Optional.empty()
                : Optional.of(new Confirmed(request, new LeaseConfirmation(lease, Duration.ofMillis(millis))));
    }
}
