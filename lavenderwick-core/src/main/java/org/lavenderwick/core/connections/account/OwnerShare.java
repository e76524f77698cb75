package org.lavenderwick.core.connections.account;

import java.time.Duration;

import org.lavenderwick.core.connections.DelayedIncreaseShare;

/**
 * The number of connections that one owner may hold to each endpoint of a group. A decrease takes effect at once. An
 * increase takes effect only after the other owners have had time to learn of it and to decrease theirs. A new owner,
 * and one that returns, begins with a small share. Not thread-safe.
 */
public final class OwnerShare {

    /**
     * Share of an owner that has just started: the connections that the owners do not share, so that one new owner at a
     * time stays within the limit of the endpoint while the one that it replaces still holds its connections.
     */
    public static final int START_SHARE = 3;

    /** Every daemon learns of a change of the owners within the bound for changes of the configuration, 5 s. */
    public static final Duration INCREASE_DELAY = Duration.ofSeconds(5);

    private final DelayedIncreaseShare delayed = DelayedIncreaseShare.create(INCREASE_DELAY);
    private int target;

    private OwnerShare() {}

    /** Returns the share of a daemon that has just started. */
    public static OwnerShare create() {
        return new OwnerShare();
    }

    /**
     * Sets the share that follows from the newest owners.
     *
     * @param newTarget the share; 0 if the daemon is no owner
     */
    public void update(int newTarget, Duration now) {
        target = newTarget;
        delayed.update(newTarget, now);
    }

    /** Returns the share in effect. */
    public int current(Duration now) {
        return Math.max(Math.min(START_SHARE, target), delayed.current(now));
    }
}
