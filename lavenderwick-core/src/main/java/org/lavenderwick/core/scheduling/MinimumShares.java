package org.lavenderwick.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The minimum shares of slot time of each rank, database and failure domain with work waiting. A key that has not been
 * served its share since it was last served (or since its work arrived) is owed slot time. Not thread-safe.
 */
final class MinimumShares {

    /** Part of the dispatched slot time that each key keeps. */
    static final double SHARE = 0.05;

    /** Most slot time in seconds that a key is owed, so that work that had no endpoint for a while gets no burst. */
    private static final double MAX_OWED_SECONDS = 0.25;

    /** What a share is kept for. */
    enum Dimension {
        RANK,
        DATABASE,
        DOMAIN
    }

    /** One rank, database or failure domain. */
    record Key(Dimension dimension, String value) {}

    /** What one key was served. */
    static final class State {
        private double countedFrom;
        private int waiting;
    }

    private final Map<Key, State> states = new HashMap<>();
    private double dispatched;

    static List<Key> keys(Operation operation) {
        return keys(operation.rank(), operation.database(), operation.domain().value());
    }

    static List<Key> keys(int rank, String database, String domain) {
        return List.of(
                new Key(Dimension.RANK, Integer.toString(rank)),
                new Key(Dimension.DATABASE, database),
                new Key(Dimension.DOMAIN, domain));
    }

    void onWaiting(List<Key> keys) {
        for (Key key : keys) {
            State state = states.computeIfAbsent(key, absent -> new State());
            if (state.waiting++ == 0) {
                state.countedFrom = Math.max(state.countedFrom, dispatched);
            }
        }
    }

    void onLeft(List<Key> keys) {
        keys.forEach(key -> states.get(key).waiting--);
    }

    /** Returns the states of keys. */
    List<State> states(List<Key> keys) {
        return keys.stream()
                .map(key -> states.computeIfAbsent(key, absent -> new State()))
                .toList();
    }

    /** Returns the slot time in seconds that a key is owed; negative if it was served more than its share. */
    double owed(State state) {
        return Math.min(MAX_OWED_SECONDS, (dispatched - state.countedFrom) * SHARE);
    }

    void onDispatched(List<Key> keys, double seconds) {
        double covered = seconds / SHARE;
        for (Key key : keys) {
            State state = states.computeIfAbsent(key, absent -> new State());
            // What is served beyond the share is not held against the key later.
            double earliest = dispatched - MAX_OWED_SECONDS / SHARE;
            state.countedFrom = Math.max(earliest, Math.min(state.countedFrom, dispatched)) + covered;
        }
        dispatched += seconds;
    }
}
