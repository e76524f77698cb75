package org.lavenderwick.core.replication;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/**
 * Recent log positions of the primary of one group. A position from an answer to a question asked at time t covers
 * every commit that was acknowledged before t, so it bounds the staleness of a read without comparing clocks. Confined
 * to one thread.
 */
public final class PositionHistory {

    /** Entries closer together than this are merged; bounds the entries of a busy group. */
    private static final Duration RESOLUTION = Duration.ofMillis(20);

    private record Observation(Duration askedAt, LogPoint point) {}

    private final Duration window;
    private final Deque<Observation> observations = new ArrayDeque<>();
    private Term term = Term.NONE;

    private PositionHistory(Duration window) {
        this.window = window;
    }

    /** Returns an empty history that keeps observations for the given time. */
    public static PositionHistory create(Duration window) {
        return new PositionHistory(window);
    }

    /**
     * Records an answer of the primary. Positions of an earlier term are ignored; one of a later term replaces all.
     *
     * @param askedAt when the question was sent, while the endpoint was known to be the primary
     */
    public void observe(Duration askedAt, LogPoint point) {
        if (term.isAfter(point.term())) {
            return;
        }
        if (point.term().isAfter(term)) {
            observations.clear();
            term = point.term();
        }
        Observation last = observations.peekLast();
        if (last != null && askedAt.compareTo(last.askedAt().plus(RESOLUTION)) < 0) {
            return;
        }
        observations.addLast(new Observation(askedAt, point));
        while (observations.peekFirst().askedAt().plus(window).compareTo(askedAt) < 0) {
            observations.removeFirst();
        }
    }

    /** Returns the lowest known position that covers every commit acknowledged before the given time. */
    public Optional<LogPoint> covering(Duration time) {
        for (Observation observation : observations) {
            if (observation.askedAt().compareTo(time) >= 0) {
                return Optional.of(observation.point());
            }
        }
        return Optional.empty();
    }

    /** Forgets all positions, as when the clock of the host cannot be trusted. */
    public void clear() {
        observations.clear();
    }
}
