package org.lavenderwick.standins;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How an endpoint follows its primary.
 *
 * @param running whether it takes entries and heartbeats at all
 * @param lag age that entries and heartbeats reach before the endpoint applies them
 * @param entriesPerSecond most entries it applies in a second
 */
public record Replication(boolean running, Duration lag, int entriesPerSecond) {

    /** Applies everything at the next replication tick. */
    public static final Replication PROMPT = new Replication(true, Duration.ZERO, Integer.MAX_VALUE);

    /** Applies nothing. */
    public static final Replication STOPPED = new Replication(false, Duration.ZERO, Integer.MAX_VALUE);

    /** Checks the ranges. */
    public Replication {
        checkArgument(!lag.isNegative(), "lag is negative: %s", lag);
        checkArgument(entriesPerSecond >= 1, "rate is below 1: %s", entriesPerSecond);
    }

    /** Returns replication that is behind by the given time. */
    public static Replication delayed(Duration lag) {
        return new Replication(true, lag, Integer.MAX_VALUE);
    }

    /** Returns replication of bounded speed, which falls behind under more writes. */
    public static Replication slow(int entriesPerSecond) {
        return new Replication(true, Duration.ZERO, entriesPerSecond);
    }
}
