package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The adaptive number of statements that this daemon may run on one endpoint. It starts at its ceiling, is cut by a
 * factor at rejections and at delay over the service time, and grows by a constant rate while statements succeed
 * without either. At the floor of 1, which may still be too much if there are more owners than slots, each rejection
 * also holds statements back for a random multiple of the service time. Not thread-safe.
 */
final class ConcurrencyLimit {

    /** Factor applied at each cut. */
    private static final double DECREASE = 0.7;

    /** Time in which the limit grows from zero to its ceiling. */
    private static final Duration GROWTH_TIME = Duration.ofSeconds(2);

    /** Responses further apart than this count as this far apart, so that an idle endpoint does not grow its limit. */
    private static final Duration MAX_GROWTH_STEP = Duration.ofMillis(200);

    /** Minimum time between cuts; responses to statements that were sent before the last cut prove nothing new. */
    private static final Duration MIN_CUT_INTERVAL = Duration.ofMillis(50);

    /**
     * Delay over service time at which the limit is cut. Twice the slots in flight give a delay of 2, as intended.
     */
    private static final double CUT_DELAY = 3;

    private static final Duration MIN_HOLD = Duration.ofMillis(4);
    private static final Duration MAX_HOLD = Duration.ofMillis(120);
    private static final int MAX_DOUBLINGS = 4;

    private final RandomGenerator random;
    private double limit = Double.MAX_VALUE;
    private Duration lastCutAt = Duration.ofSeconds(-1);
    private Duration lastGrowthAt = Duration.ZERO;
    private Duration heldUntil = Duration.ZERO;
    private int consecutiveRejections;

    private ConcurrencyLimit(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a limit at its ceiling. */
    static ConcurrencyLimit create(RandomGenerator random) {
        return new ConcurrencyLimit(random);
    }

    /** Returns the limit, at least 1 and at most the ceiling. */
    int value(int ceiling) {
        return (int) Math.max(1, Math.min(limit, ceiling));
    }

    /** Returns whether no statement may be sent because the last ones were rejected. */
    boolean isHeld(Duration now) {
        return now.compareTo(heldUntil) < 0;
    }

    /**
     * Records that the endpoint rejected a statement.
     *
     * @param serviceNanos expected time until a slot of the endpoint becomes free
     */
    void onRejected(int ceiling, double serviceNanos, Duration now) {
        boolean atFloor = value(ceiling) == 1;
        cut(ceiling, now);
        if (atFloor) {
            consecutiveRejections++;
            double hold = Math.max(MIN_HOLD.toNanos(), serviceNanos)
                    * (1 << Math.min(consecutiveRejections - 1, MAX_DOUBLINGS))
                    * (0.5 + random.nextDouble());
            heldUntil = now.plusNanos((long) Math.min(hold, MAX_HOLD.toNanos()));
        }
    }

    /** Records that a statement succeeded while the endpoint had the given mean delay over the service time. */
    void onSucceeded(int ceiling, double delay, Duration now) {
        consecutiveRejections = 0;
        if (delay >= CUT_DELAY) {
            cut(ceiling, now);
        } else if (limit < ceiling) {
            Duration step = now.minus(lastGrowthAt);
            long nanos = Math.min(step.toNanos(), MAX_GROWTH_STEP.toNanos());
            limit += ceiling * (double) nanos / GROWTH_TIME.toNanos();
        }
        lastGrowthAt = now;
    }

    private void cut(int ceiling, Duration now) {
        lastGrowthAt = now;
        if (now.minus(lastCutAt).compareTo(MIN_CUT_INTERVAL) >= 0) {
            limit = Math.max(1, Math.min(limit, ceiling) * DECREASE);
            lastCutAt = now;
        }
    }

    /** Sets the limit to its floor, from which it grows again. */
    void restart(Duration now) {
        limit = 1;
        lastGrowthAt = now;
    }
}
