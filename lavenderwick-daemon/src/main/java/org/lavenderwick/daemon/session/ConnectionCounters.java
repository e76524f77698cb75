package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.jboss.logging.Logger;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * How often statements of a group found a connection of their account, while the configuration names accounts. Confined
 * to the traffic thread.
 */
final class ConnectionCounters {

    /** Minimum time between two log lines. */
    private static final Duration LOG_INTERVAL = Duration.ofMinutes(1);

    /** Highest number of endpoints that one log line names. */
    private static final int MAX_LOGGED_ENDPOINTS = 6;

    private static final Logger LOG = Logger.getLogger(ConnectionCounters.class);

    /**
     * The counts since the start of the daemon.
     *
     * @param hits statements that found an idle connection at once
     * @param misses connections that were opened because a statement found none
     * @param evictions idle connections that were closed in favor of another account
     * @param waits statements that waited for a busy connection of their account or for room
     */
    record Counts(long hits, long misses, long evictions, long waits) {

        Counts minus(Counts earlier) {
            return new Counts(
                    hits - earlier.hits, misses - earlier.misses, evictions - earlier.evictions, waits - earlier.waits);
        }

        boolean isZero() {
            return hits + misses + evictions + waits == 0;
        }
    }

    private final GroupName group;
    private Counts logged = new Counts(0, 0, 0, 0);
    private Duration loggedAt;
    private long hits;
    private long misses;
    private long evictions;
    private long waits;

    ConnectionCounters(GroupName group, Duration now) {
        this.group = group;
        this.loggedAt = now;
    }

    void recordHit() {
        hits++;
    }

    void recordMiss(boolean evicted) {
        misses++;
        evictions += evicted ? 1 : 0;
    }

    void recordWait() {
        waits++;
    }

    /** Returns the counts since the start. */
    Counts counts() {
        return new Counts(hits, misses, evictions, waits);
    }

    /** Logs the counts since the last line if a minute has passed and there was any traffic. */
    void logIfDue(Duration now, Map<EndpointName, EndpointConnectionPool> pools) {
        if (loggedAt.plus(LOG_INTERVAL).compareTo(now) > 0) {
            return;
        }
        Counts recent = counts().minus(logged);
        loggedAt = now;
        logged = counts();
        if (!recent.isZero()) {
            LOG.infof(
                    "[session] Connections of %s by account in the last minute: %d hits, %d misses, %d evictions, %d"
                            + " waits; open: %s.",
                    group.value(),
                    recent.hits(),
                    recent.misses(),
                    recent.evictions(),
                    recent.waits(),
                    describe(connectionsByEndpoint(pools)));
        }
    }

    /** Returns the number of connections to each endpoint. */
    static SortedMap<EndpointName, Integer> connectionsByEndpoint(Map<EndpointName, EndpointConnectionPool> pools) {
        SortedMap<EndpointName, Integer> connections = new TreeMap<>();
        pools.forEach((name, pool) -> connections.put(name, pool.size()));
        return connections;
    }

    private static String describe(SortedMap<EndpointName, Integer> connections) {
        String named = connections.entrySet().stream()
                .limit(MAX_LOGGED_ENDPOINTS)
                .map(entry -> entry.getKey().value() + " " + entry.getValue())
                .collect(Collectors.joining(", "));
        int omitted = connections.size() - MAX_LOGGED_ENDPOINTS;
        return omitted > 0 ? named + " and " + omitted + " further endpoints" : named;
    }
}
