package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;

/**
 * The lines by which a daemon passes on what it knows of the store. A follower asks with the revision that it knows
 * itself; it receives everything if more is known here, then each change. Every batch, also an empty one, ends with a
 * line that tells how old the knowledge is.
 */
public final class FeedProtocol {

    /** Stands before a batch that holds everything. */
    public static final String SNAPSHOT_START = "EVERYTHING";

    private static final String FOLLOW = "FOLLOW ";

    private static final String CHANGE = "CHANGE ";

    private static final String UP_TO = "UPTO ";

    private static final int END_WORDS = 3;

    /**
     * The end of a batch.
     *
     * @param revision the revision that the batch leads to
     * @param age time since the store was last known to have no later change
     */
    public record BatchEnd(long revision, Duration age) {}

    private FeedProtocol() {}

    /** Returns the line that asks for what is known beyond a revision; a negative one for everything. */
    public static String formatSubscription(long revision) {
        return FOLLOW + revision;
    }

    /** Returns the revision that a follower knows; empty if the line does not ask for a feed. */
    static Optional<Long> parseSubscription(String line) {
        return line.startsWith(FOLLOW)
                ? Optional.ofNullable(Longs.tryParse(line.substring(FOLLOW.length())))
                : Optional.empty();
    }

    static String formatChange(String encoded) {
        return CHANGE + encoded;
    }

    static String formatBatchEnd(long revision, Duration age) {
        return UP_TO + revision + " " + age.toMillis();
    }

    /** Returns the encoded change in a line; empty if the line holds none. */
    public static Optional<String> parseChange(String line) {
        return line.startsWith(CHANGE) ? Optional.of(line.substring(CHANGE.length())) : Optional.empty();
    }

    /** Returns the end of a batch that a line stands for; empty if it is none. */
    public static Optional<BatchEnd> parseBatchEnd(String line) {
        List<String> words = Splitter.on(' ').splitToList(line);
        if (!line.startsWith(UP_TO) || words.size() != END_WORDS) {
            return Optional.empty();
        }
        Long revision = Longs.tryParse(words.get(1));
        Long millis = Longs.tryParse(words.get(2));
        return revision == null || millis == null || millis < 0
                ? Optional.empty()
                : Optional.of(new BatchEnd(revision, Duration.ofMillis(millis)));
    }
}
