package org.lavenderwick.core.time;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The suspensions of a host that were detected, during which its monotonic clock stopped. With them, the real age of
 * something that was dated by this clock can be stated. Confined to one thread.
 */
public final class Suspensions {

    /** Maximum number that is remembered one by one; of earlier ones, only the total length is. */
    private static final int MAX_REMEMBERED = 100;

    private record Suspension(Duration endedAt, Duration length) {}

    private final Deque<Suspension> suspensions = new ArrayDeque<>();
    private Duration forgotten = Duration.ZERO;
    private Duration forgottenUntil = Duration.ofSeconds(Long.MIN_VALUE);

    private Suspensions() {}

    /** Returns an instance without suspensions. */
    public static Suspensions create() {
        return new Suspensions();
    }

    /**
     * Records a suspension.
     *
     * @param endedAt when it was noticed, on the monotonic clock
     * @param length how long the clock stopped, or an upper bound
     */
    public void record(Duration endedAt, Duration length) {
        suspensions.addLast(new Suspension(endedAt, length));
        if (suspensions.size() > MAX_REMEMBERED) {
            Suspension eldest = suspensions.removeFirst();
            forgotten = forgotten.plus(eldest.length());
            forgottenUntil = eldest.endedAt();
        }
    }

    /** Returns for how long the monotonic clock has stopped since a moment that it showed, or an upper bound. */
    public Duration since(Duration moment) {
        Duration total = forgottenUntil.compareTo(moment) >= 0 ? forgotten : Duration.ZERO;
        for (Suspension suspension : suspensions) {
            if (suspension.endedAt().compareTo(moment) >= 0) {
                total = total.plus(suspension.length());
            }
        }
        return total;
    }
}
