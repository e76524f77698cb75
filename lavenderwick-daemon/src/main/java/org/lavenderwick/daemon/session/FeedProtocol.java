package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.store.EraRevision;

/**
 * The line protocol in which a daemon sends store changes to other daemons. A subscriber sends the store revision that
 * it has. The first batch holds the changes since then, or the whole content of the store if the sender no longer has
 * these changes. Each later batch holds the changes since the one before. Every batch, even an empty one, ends with a
 * line that carries its revision and age.
 *
 * <p>A subscriber may send numbered probes. The answer to a probe states the revision and the age of the content at the
 * time of the answer; it follows all batches that were sent before it.
 *
 * <p>A subscriber that leaves because the content of the sender is too old, and that has recent content itself, offers
 * its own feed before it closes the connection.
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

    private static final int BATCH_END_NUMBERS = 2;

    private static final String CONFIRM_PREFIX = "CONFIRM ";

    private static final String CONFIRMED_PREFIX = "CONFIRMED ";

    private static final int CONFIRMED_NUMBERS = 3;

    private static final int CONFIRMED_NUMBERS_WITH_ERA = 4;

    private static final String PROBE_PREFIX = "PROBE ";

    private static final String PROBED_PREFIX = "PROBED ";

    private static final int PROBED_NUMBERS = 3;

    private static final String OFFER_PREFIX = "OFFER ";

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
        return parseNumber(line, SUBSCRIBE_PREFIX);
    }

    private static Optional<Long> parseNumber(String line, String prefix) {
        return line.startsWith(prefix)
                ? Optional.ofNullable(Longs.tryParse(line.substring(prefix.length())))
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
        return parseNumbers(line, BATCH_END_PREFIX, BATCH_END_NUMBERS)
                .map(numbers -> new BatchEnd(numbers.get(0), Duration.ofMillis(numbers.get(1))));
    }

    /** Returns the numbers after a prefix; empty if there are not exactly so many, or the last one is negative. */
    private static Optional<List<Long>> parseNumbers(String line, String prefix, int count) {
        if (!line.startsWith(prefix)) {
            return Optional.empty();
        }
        List<String> words = Splitter.on(' ').splitToList(line.substring(prefix.length()));
        List<Long> numbers =
                words.stream().map(Longs::tryParse).filter(Objects::nonNull).toList();
        boolean valid = words.size() == count && numbers.size() == count && numbers.get(count - 1) >= 0;
        return valid ? Optional.of(numbers) : Optional.empty();
    }

    /** The answer to a probe, with the number of the probe. */
    public record Probed(long probe, BatchEnd state) {}

    /** Returns the line that sends a probe. */
    public static String formatProbe(long number) {
        return PROBE_PREFIX + number;
    }

    /** Returns the number of a probe; empty if the line is not a valid one. */
    static Optional<Long> parseProbe(String line) {
        return parseNumber(line, PROBE_PREFIX);
    }

    /** Returns the line that answers a probe; the age is sent in milliseconds, rounded up. */
    static String formatProbed(long number, long revision, Duration age) {
        return PROBED_PREFIX + number + " " + revision + " " + (age.toMillis() + 1);
    }

    /** Returns the parsed answer to a probe; empty if the line is not a valid one. */
    public static Optional<Probed> parseProbed(String line) {
        return parseNumbers(line, PROBED_PREFIX, PROBED_NUMBERS)
                .map(numbers ->
                        new Probed(numbers.get(0), new BatchEnd(numbers.get(1), Duration.ofMillis(numbers.get(2)))));
    }

    /** Returns the line that offers the feed of the daemon at an address. */
    public static String formatOffer(InetSocketAddress feed) {
        return OFFER_PREFIX + Addresses.join(feed.getAddress().getHostAddress(), feed.getPort());
    }

    /** Returns the address of the daemon whose feed is offered; empty if the line is not a valid offer. */
    static Optional<InetSocketAddress> parseOffer(String line) {
        return Optional.of(line)
                .filter(text -> text.startsWith(OFFER_PREFIX))
                .map(text -> text.substring(OFFER_PREFIX.length()))
                .filter(Addresses::isIpAndPort)
                .map(Addresses::socketAddress);
    }

    /** The response to a request for a confirmation, with the number of the request. */
    public record Confirmed(long request, LeaseConfirmation confirmation) {}

    /** Returns the line that requests a confirmation. */
    public static String formatConfirmationRequest(long request) {
        return CONFIRM_PREFIX + request;
    }

    /** Returns the number of a request for a confirmation; empty if the line is not a valid one. */
    static Optional<Long> parseConfirmationRequest(String line) {
        return parseNumber(line, CONFIRM_PREFIX);
    }

    /**
     * Returns the line that carries a confirmation; its age is sent in milliseconds, rounded up. The first era is left
     * out, as daemons of earlier versions do not know of eras.
     */
    static String formatConfirmed(long request, LeaseConfirmation confirmation) {
        String era = confirmation.era() == EraRevision.FIRST_ERA ? "" : confirmation.era() + " ";
        return CONFIRMED_PREFIX + request + " " + era + confirmation.lease() + " "
                + (confirmation.age().toMillis() + 1);
    }

    /** Returns the parsed confirmation; empty if the line is not a valid one. */
    public static Optional<Confirmed> parseConfirmed(String line) {
        return parseNumbers(line, CONFIRMED_PREFIX, CONFIRMED_NUMBERS)
                .map(numbers -> confirmed(numbers.get(0), EraRevision.FIRST_ERA, numbers.get(1), numbers.get(2)))
                .or(() -> parseNumbers(line, CONFIRMED_PREFIX, CONFIRMED_NUMBERS_WITH_ERA)
                        .map(numbers -> confirmed(numbers.get(0), numbers.get(1), numbers.get(2), numbers.get(3))));
    }

    private static Confirmed confirmed(long request, long era, long lease, long ageMillis) {
        return new Confirmed(request, new LeaseConfirmation(era, lease, Duration.ofMillis(ageMillis)));
    }
}
