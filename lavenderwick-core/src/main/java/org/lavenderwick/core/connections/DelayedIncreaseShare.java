package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The connection share of one owner, for which a decrease takes effect at once and an increase only after a delay.
 *
 * <p>The share follows from the seat table, the shared list of daemons, and owners learn of a new seat table at
 * different times. Without the delay, the old and the new lead would both use the share of the lead meanwhile. If every
 * owner learns of each seat table within the delay, the shares in effect never sum to more than the connection limit.
 *
 * <p>Not thread-safe.
 */
public final class DelayedIncreaseShare {

    private record Change(Duration at, int share) {}

    private final Duration increaseDelay;

    /**
     * The changes that determine the lowest share within the last delay, oldest first. A change that is followed by one
     * to a lower or equal share is left out, so the first change has the lowest share.
     */
    private final Deque<Change> recentChanges = new ArrayDeque<>();

    private DelayedIncreaseShare(Duration increaseDelay) {
        this.increaseDelay = increaseDelay;
    }

    /**
     * Creates a share that is 0 until the delay after the first update has passed.
     *
     * @param increaseDelay delay before an increase takes effect; must exceed the time in which a seat table reaches
     *     all owners
     */
    public static DelayedIncreaseShare create(Duration increaseDelay) {
        checkArgument(!increaseDelay.isNegative(), "increase delay must not be negative: %s", increaseDelay);
        DelayedIncreaseShare created = new DelayedIncreaseShare(increaseDelay);
        created.recentChanges.add(new Change(Duration.ZERO, 0));
        return created;
    }

    /** Sets the share that follows from the newest seat table. An unchanged share does not restart the delay. */
    public void update(int share, Duration now) {
        checkArgument(share >= 0, "share must not be negative: %s", share);
        removeOutdatedChanges(now);
        if (recentChanges.peekLast().share() == share) {
            return;
        }
        while (!recentChanges.isEmpty() && recentChanges.peekLast().share() >= share) {
            recentChanges.removeLast();
        }
        recentChanges.addLast(new Change(now, share));
    }

    /** Returns the share in effect: the lowest share within the last delay. */
    public int current(Duration now) {
        removeOutdatedChanges(now);
        return recentChanges.peekFirst().share();
    }

    /** Removes the changes that were superseded at least one delay ago. */
    private void removeOutdatedChanges(Duration now) {
        while (recentChanges.size() > 1) {
            Change first = recentChanges.removeFirst();
            if (recentChanges.peekFirst().at().plus(increaseDelay).compareTo(now) > 0) {
                recentChanges.addFirst(first);
                return;
            }
        }
    }
}
