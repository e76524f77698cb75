package org.lavenderwick.standins;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a relay does with the connections of one source block.
 *
 * @param mode whether bytes pass
 * @param delay time by which bytes are late, in each direction
 */
public record LinkRule(Mode mode, Duration delay) {

    /** Passes everything at once. */
    public static final LinkRule OPEN = new LinkRule(Mode.OPEN, Duration.ZERO);

    /** Closes new connections at once; open ones go on. */
    public static final LinkRule REFUSED = new LinkRule(Mode.REFUSED, Duration.ZERO);

    /** Passes nothing on open and new connections. */
    public static final LinkRule SILENT = new LinkRule(Mode.SILENT, Duration.ZERO);

    /** Checks the range. */
    public LinkRule {
        checkArgument(!delay.isNegative(), "delay is negative: %s", delay);
    }

    /** Returns a rule that passes everything late. */
    public static LinkRule delayed(Duration delay) {
        return new LinkRule(Mode.OPEN, delay);
    }

    /** Whether bytes pass. */
    public enum Mode {
        /** They pass. */
        OPEN,
        /** New connections are closed at once. */
        REFUSED,
        /** Nothing passes, and neither side learns of it. */
        SILENT
    }
}
