package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.jboss.logging.Logger;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.RegistrationVersion;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;

/** A local copy of the configuration, the endpoints and the fleet entries of the store. Thread-safe. */
final class StoreCache {

    /**
     * Time for which an endpoint is kept after its entry was removed. Endpoints whose entries expired during an outage
     * of the store write them again within two seconds after the store is back.
     */
    static final Duration REMOVAL_GRACE = Duration.ofMillis(2500);

    /**
     * Maximum number of invalid entries that are logged, each once for a reason. Bounds the memory that a faulty writer
     * can use.
     */
    private static final int MAX_LOGGED_ENTRIES = 1000;

    /** Maximum number of endpoints, including removed ones, whose newest registration is remembered. */
    private static final int MAX_VERSIONS = 10_000;

    private static final Logger LOG = Logger.getLogger(StoreCache.class);

    private final Map<EndpointName, EndpointEntry> endpoints = new HashMap<>();
    private final Map<EndpointName, Duration> missingSince = new HashMap<>();
    private final Map<EndpointName, RegistrationVersion> versions = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointName, RegistrationVersion> eldest) {
            return size() > MAX_VERSIONS;
        }
    };
    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    private final Set<String> loggedEntries = new HashSet<>();
    private Optional<Catalog> catalog = Optional.empty();
    private Map<EndpointName, EndpointEntry> endpointsView = ImmutableMap.of();
    private Map<GroupName, Map<EndpointName, EndpointEntry>> membersView = ImmutableMap.of();
    private boolean viewsOutdated;
    private boolean loaded;

    /** Replaces the fleet entries by the complete content of the store; endpoints that it lacks count as removed. */
    synchronized void replaceAll(StoreChanges content, Duration now) {
        Set<EndpointName> absent = new HashSet<>(endpoints.keySet());
        loaded = true;
        entries.clear();
        for (StoreChange change : content.changes()) {
            if (change instanceof StoreChange.EndpointChanged changed) {
                absent.remove(changed.entry().name());
                registerUnlessOutdated(changed);
            } else {
                apply(change, now);
            }
        }
        absent.forEach(name -> missingSince.putIfAbsent(name, now));
    }

    /** Returns whether the complete content of the store has been read. */
    synchronized boolean isLoaded() {
        return loaded;
    }

    /** Applies one change. */
    synchronized void apply(StoreChange change, Duration now) {
        if (change instanceof StoreChange.CatalogChanged changed) {
            install(changed.catalog());
        } else if (change instanceof StoreChange.EndpointChanged changed) {
            register(changed);
        } else if (change instanceof StoreChange.EndpointRemoved removed) {
            markMissing(removed.name(), now);
        } else if (change instanceof StoreChange.EndpointUnusable unusable) {
            markMissing(unusable.name(), now);
            logOnce(unusable.name().value(), unusable.reason());
        } else if (change instanceof StoreChange.EntryChanged changed) {
            entries.put(changed.entry().key(), changed.entry());
        } else if (change instanceof StoreChange.EntryRemoved removed) {
            entries.remove(removed.key());
        } else if (change instanceof StoreChange.Undecodable undecodable) {
            logOnce(undecodable.key(), undecodable.reason());
        }
    }

    /** Applies a registration, unless a store that came back from a copy returns one from before the newest one. */
    private void registerUnlessOutdated(StoreChange.EndpointChanged changed) {
        RegistrationVersion newest = versions.get(changed.entry().name());
        if (newest == null || !changed.version().isOlderThan(newest)) {
            register(changed);
        }
    }

    /**
     * Applies a registration. A change that follows known content is newer whatever version it states: another writer
     * may have stated a version that the endpoint never reaches.
     */
    private void register(StoreChange.EndpointChanged changed) {
        EndpointName name = changed.entry().name();
        versions.put(name, changed.version());
        EndpointEntry before = endpoints.put(name, changed.entry());
        viewsOutdated |= !changed.entry().equals(before);
        missingSince.remove(name);
    }

    private void markMissing(EndpointName name, Duration now) {
        if (endpoints.containsKey(name)) {
            missingSince.putIfAbsent(name, now);
        }
    }

    private void logOnce(String entry, String reason) {
        if (loggedEntries.size() < MAX_LOGGED_ENTRIES && loggedEntries.add(entry + " " + reason)) {
            LOG.warnf("[fleet] Ignoring the entry %s: %s.", entry, reason);
        }
    }

    /** Replaces the configuration, unless the new one has no higher version. */
    private void install(Catalog newCatalog) {
        if (catalog.isPresent() && catalog.get().version() >= newCatalog.version()) {
            return;
        }
        LOG.infof(
                "[fleet] Configuration %d is in force with %d databases.",
                newCatalog.version(), newCatalog.databases().size());
        AccountLog.logChanges(catalog.map(Catalog::accounts), newCatalog);
        catalog = Optional.of(newCatalog);
    }

    /** Removes the endpoints whose entries have been missing for {@link #REMOVAL_GRACE}; returns if there were any. */
    synchronized boolean removeExpired(Duration now) {
        return missingSince.entrySet().removeIf(missing -> {
            boolean expired = missing.getValue().plus(REMOVAL_GRACE).compareTo(now) <= 0;
            if (expired) {
                endpoints.remove(missing.getKey());
                viewsOutdated = true;
                LOG.infof("[fleet] Removed the endpoint %s: its entry is missing from the store.", missing.getKey());
            }
            return expired;
        });
    }

    /** Returns the configuration; empty if none was read yet. */
    synchronized Optional<Catalog> catalog() {
        return catalog;
    }

    /** Returns the endpoints of all groups. The same object is returned until one of them changes. */
    synchronized Map<EndpointName, EndpointEntry> endpoints() {
        updateViews();
        return endpointsView;
    }

    /** Returns the endpoints of a group. */
    synchronized Map<EndpointName, EndpointEntry> members(GroupName group) {
        updateViews();
        return membersView.getOrDefault(group, ImmutableMap.of());
    }

    private void updateViews() {
        if (!viewsOutdated) {
            return;
        }
        viewsOutdated = false;
        endpointsView = ImmutableMap.copyOf(endpoints);
        Map<GroupName, Map<EndpointName, EndpointEntry>> byGroup = new HashMap<>();
        endpoints.forEach((name, entry) ->
                byGroup.computeIfAbsent(entry.group(), group -> new HashMap<>()).put(name, entry));
        membersView = ImmutableMap.copyOf(Maps.transformValues(byGroup, ImmutableMap::copyOf));
    }

    /** Returns the endpoints of a group whose entries are missing, which are still among its members for a while. */
    synchronized Set<EndpointName> missing(GroupName group) {
        Set<EndpointName> missing = new HashSet<>(members(group).keySet());
        missing.retainAll(missingSince.keySet());
        return missing;
    }

    /** Returns when the processes of the endpoints of a group started, as they state it, in Unix milliseconds. */
    synchronized Map<EndpointName, Long> startTimes(GroupName group) {
        Map<EndpointName, Long> startTimes = new HashMap<>();
        for (EndpointName name : members(group).keySet()) {
            RegistrationVersion version = versions.get(name);
            if (version != null && version.startedAt() >= 0) {
                startTimes.put(name, version.startedAt());
            }
        }
        return startTimes;
    }

    /** Returns the fleet entry with the given key; empty if there is none. */
    synchronized Optional<StoreEntry> entry(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns the fleet entries whose keys start with the given prefix. */
    synchronized Map<String, StoreEntry> entriesWithPrefix(String prefix) {
        return ImmutableMap.copyOf(entries.subMap(prefix, prefix + Character.MAX_VALUE));
    }

    /** Returns whether any fleet entry's key starts with the given prefix. */
    synchronized boolean hasEntryWithPrefix(String prefix) {
        return !entries.subMap(prefix, prefix + Character.MAX_VALUE).isEmpty();
    }
}
