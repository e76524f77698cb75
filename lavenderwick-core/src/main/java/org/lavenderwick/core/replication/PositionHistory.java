package org.lavenderwick.core.replication;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/**
 * The recent log positions of the primary of one group.
 *
 * <p>A position in the response to a request sent at time t covers every commit that was acknowledged before t. A read
 * from a replica that has reached this position is therefore no staler than t, and no clocks of different hosts need to
 * be compared. Confined to one thread.
 */
public final class PositionHistory {

    /** Minimum distance between observations; limits their number for a busy group. */
    private static final Duration RESOLUTION = Duration.ofMillis(20);

    private record Observation(Duration requestedAt, LogPoint point) {}

    private final Duration window;
    private final Deque<Observation> observations = new ArrayDeque<>();
    private Term term = Term.NONE;

    private PositionHistory(Duration window) {
        this.window = window;
    }

    /** Returns an empty history that keeps observations for the given window. */
    public static PositionHistory create(Duration window) {
        return new PositionHistory(window);
    }

    /**
     * Records a position from the primary. Ignores it if its term is earlier than that of the latest observation, and
     * discards all observations of earlier terms if it is later.
     *
     * @param requestedAt when the request for the position was sent; the endpoint must have been the primary at that
     *     time
     */
    public void observe(Duration requestedAt, LogPoint point) {
        if (term.isAfter(point.term())) {
            return;
        }
        if (point.term().isAfter(term)) {
            observations.clear();
            term = point.term();
        }
        Observation last = observations.peekLast();
        if (last != null && requestedAt.compareTo(last.requestedAt().plus(RESOLUTION)) < 0) {
            return;
        }
        observations.addLast(new Observation(requestedAt, point));
        while (observations.peekFirst().requestedAt().plus(window).compareTo(requestedAt) < 0) {
            observations.removeFirst();
        }
    }

    /** Returns the lowest known position that covers every commit acknowledged before a time; empty if none does. */
    public Optional<LogPoint> covering(Duration time) {
        for (Observation observation : observations) {
            if (observation.requestedAt().compareTo(time) >= 0) {
                return Optional.of(observation.point());
            }
        }
        return Optional.empty();
    }

    /** Discards all observations, for example when the clock of the host is unreliable. */
    public void clear() {
        observations.clear();
    }
}
