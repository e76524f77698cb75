package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The connection share of an owner while the seat table changes. A lower share holds at once, a higher one only after a
 * wait in which the other owners learn of the change.
 *
 * <p>Without the wait, a new lead owner and the old one would both use the lead's share for as long as they know
 * different seat tables. If every owner learns of each table within the wait, the guarded shares sum to at most the
 * limit at any time. Confined to one thread.
 */
public final class DelayedIncreaseShare {

    private record Change(Duration since, int share) {}

    private final Duration raiseWait;

    /** The shares in force within the last wait, oldest first, without those followed by a lower or equal one. */
    private final Deque<Change> recent = new ArrayDeque<>();

    private DelayedIncreaseShare(Duration raiseWait) {
        this.raiseWait = raiseWait;
    }

    /**
     * Returns a guard whose share is 0 until the wait after the first update.
     *
     * @param raiseWait longer than a seat table takes to reach all owners
     */
    public static DelayedIncreaseShare create(Duration raiseWait) {
        checkArgument(!raiseWait.isNegative(), "wait is negative: %s", raiseWait);
        DelayedIncreaseShare guard = new DelayedIncreaseShare(raiseWait);
        guard.recent.add(new Change(Duration.ZERO, 0));
        return guard;
    }

    /** Records the share according to the newest seat table. A share that stays the same does not start a wait. */
    public void update(int share, Duration now) {
        checkArgument(share >= 0, "share is negative: %s", share);
        expire(now);
        if (recent.peekLast().share() == share) {
            return;
        }
        while (!recent.isEmpty() && recent.peekLast().share() >= share) {
            recent.removeLast();
        }
        recent.addLast(new Change(now, share));
    }

    /** Returns the share that holds now: the lowest one in force within the wait. */
    public int current(Duration now) {
        expire(now);
        return recent.peekFirst().share();
    }

    /** Drops a share once the next one has been in force for the whole wait. */
    private void expire(Duration now) {
        while (recent.size() > 1) {
            Change first = recent.removeFirst();
            if (recent.peekFirst().since().plus(raiseWait).compareTo(now) > 0) {
                recent.addFirst(first);
                return;
            }
        }
    }
}
