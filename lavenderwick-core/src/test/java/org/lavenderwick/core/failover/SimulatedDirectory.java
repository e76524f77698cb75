package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.StoreChange;

/**
 * What one daemon knows of the endpoints from the store. As in a daemon, an endpoint is removed some time after its
 * registration has gone, by the clock of the daemon and whether or not that reaches the store.
 */
final class SimulatedDirectory {

    private static final Duration REMOVAL_GRACE = Duration.ofMillis(2500);

    private final Map<EndpointName, StoreChange.EndpointChanged> endpoints = new HashMap<>();
    private final Map<EndpointName, Duration> missingSince = new HashMap<>();
    private int syncReplicas;
    private long revision = -1;

    /** Replaces the content by that of the store. */
    void replaceAll(
            Map<EndpointName, StoreChange.EndpointChanged> content,
            int newSyncReplicas,
            long newRevision,
            Duration now) {
        if (newRevision < revision) {
            return;
        }
        revision = newRevision;
        syncReplicas = newSyncReplicas;
        content.forEach((name, registration) -> {
            endpoints.put(name, registration);
            missingSince.remove(name);
        });
        endpoints.keySet().stream()
                .filter(name -> !content.containsKey(name))
                .forEach(name -> missingSince.putIfAbsent(name, now));
        removeExpired(now);
    }

    /** Replaces the content by that of another daemon if it is newer. */
    void followFeed(SimulatedDirectory other, Duration now) {
        Map<EndpointName, StoreChange.EndpointChanged> registered = new HashMap<>(other.endpoints);
        registered.keySet().removeAll(other.missingSince.keySet());
        replaceAll(registered, other.syncReplicas, other.revision, now);
    }

    void removeExpired(Duration now) {
        missingSince.entrySet().removeIf(missing -> {
            boolean expired = missing.getValue().plus(REMOVAL_GRACE).compareTo(now) <= 0;
            if (expired) {
                endpoints.remove(missing.getKey());
            }
            return expired;
        });
    }

    /** Returns the endpoints in a fixed order, so that a seed always gives the same simulation. */
    Set<EndpointName> members() {
        return new TreeSet<>(endpoints.keySet());
    }

    Map<EndpointName, EndpointEntry> entries() {
        Map<EndpointName, EndpointEntry> entries = new HashMap<>();
        endpoints.forEach((name, registration) -> entries.put(name, registration.entry()));
        return entries;
    }

    GroupDirectory toGroupDirectory(boolean distinguishesRestarts) {
        Map<EndpointName, Long> startTimes = new HashMap<>();
        if (distinguishesRestarts) {
            endpoints.forEach((name, registration) ->
                    startTimes.put(name, registration.version().startedAt()));
        }
        return new GroupDirectory(entries(), new HashSet<>(missingSince.keySet()), startTimes, syncReplicas, revision);
    }
}
