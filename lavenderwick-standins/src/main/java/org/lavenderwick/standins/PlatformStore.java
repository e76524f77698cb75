package org.lavenderwick.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.platform.Lease;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.time.MonotonicClock;

/** Keys, leases and hosts of the platform, in memory. Revisions grow across all keys. Thread-safe. */
final class PlatformStore {

    private final MonotonicClock clock;
    private final Duration hostLag;
    private final TreeMap<String, Versions> keys = new TreeMap<>();
    private final Map<String, List<CompletableFuture<VersionedValue>>> watchers = new HashMap<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private final TreeMap<DaemonName, HostEntry> hosts = new TreeMap<>();
    private final Deque<HostChange> hostChanges = new ArrayDeque<>();
    private long lastRevision;

    PlatformStore(MonotonicClock clock, Duration hostLag) {
        this.clock = clock;
        this.hostLag = hostLag;
    }

    synchronized Optional<VersionedValue> read(String key) {
        return Optional.ofNullable(keys.get(key)).map(Versions::newest);
    }

    /** Returns the value before the newest one, or the newest one if it is the first. */
    synchronized Optional<VersionedValue> readStale(String key) {
        return Optional.ofNullable(keys.get(key))
                .map(versions -> versions.previous().orElse(versions.newest()));
    }

    /** Returns the new revision, or empty if the key does not have the expected one. */
    Optional<Long> compareAndSwap(String key, String value, long expectedRevision) {
        VersionedValue written;
        List<CompletableFuture<VersionedValue>> waiting;
        synchronized (this) {
            Versions versions = keys.get(key);
            long current =
                    versions == null ? PlatformPort.ABSENT : versions.newest().revision();
            if (current != expectedRevision) {
                return Optional.empty();
            }
            lastRevision++;
            written = new VersionedValue(value, lastRevision);
            keys.put(key, new Versions(written, Optional.ofNullable(versions).map(Versions::newest)));
            waiting = watchers.remove(key);
        }
        if (waiting != null) {
            waiting.forEach(watcher -> watcher.complete(written));
        }
        return Optional.of(written.revision());
    }

    /** Returns a future that completes with the first value above the given revision. */
    synchronized CompletableFuture<VersionedValue> watch(String key, long afterRevision) {
        Optional<VersionedValue> current = read(key);
        if (current.isPresent() && current.get().revision() > afterRevision) {
            return CompletableFuture.completedFuture(current.get());
        }
        CompletableFuture<VersionedValue> watcher = new CompletableFuture<>();
        watchers.computeIfAbsent(key, absent -> new ArrayList<>()).add(watcher);
        return watcher;
    }

    synchronized void unwatch(String key, CompletableFuture<VersionedValue> watcher) {
        List<CompletableFuture<VersionedValue>> waiting = watchers.get(key);
        if (waiting != null && waiting.remove(watcher) && waiting.isEmpty()) {
            watchers.remove(key);
        }
    }

    synchronized List<String> list(String prefix) {
        List<String> found = new ArrayList<>();
        for (String key : keys.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) {
                break;
            }
            found.add(key);
        }
        return found;
    }

    /** Grants a lease with a new fencing token, unless another holder has it. */
    synchronized Optional<Lease> acquire(String name, String holder, Duration ttl) {
        HeldLease held = leases.get(name);
        Duration now = clock.now();
        if (held != null && held.valid(now) && !held.lease().holder().equals(holder)) {
            return Optional.empty();
        }
        long token = held == null ? 1 : held.lease().fencingToken() + 1;
        Lease granted = new Lease(name, holder, token, ttl);
        leases.put(name, new HeldLease(granted, now.plus(ttl)));
        return Optional.of(granted);
    }

    /** Extends a lease that has neither lapsed nor been granted anew. */
    synchronized Optional<Lease> renew(String name, long token, Duration ttl) {
        HeldLease held = leases.get(name);
        Duration now = clock.now();
        if (held == null || !held.valid(now) || held.lease().fencingToken() != token) {
            return Optional.empty();
        }
        Lease renewed = new Lease(name, held.lease().holder(), token, ttl);
        leases.put(name, new HeldLease(renewed, now.plus(ttl)));
        return Optional.of(renewed);
    }

    /** Ends a lease held under the token; the token stays on record so that the next one is higher. */
    synchronized boolean release(String name, long token) {
        HeldLease held = leases.get(name);
        Duration now = clock.now();
        if (held == null || !held.valid(now) || held.lease().fencingToken() != token) {
            return false;
        }
        leases.put(name, new HeldLease(held.lease(), now));
        return true;
    }

    synchronized void putHost(HostEntry host) {
        hostChanges.add(new HostChange(clock.now().plus(hostLag), host.daemon(), Optional.of(host)));
    }

    synchronized void removeHost(DaemonName daemon) {
        hostChanges.add(new HostChange(clock.now().plus(hostLag), daemon, Optional.empty()));
    }

    synchronized List<HostEntry> hosts() {
        Duration now = clock.now();
        Iterator<HostChange> due = hostChanges.iterator();
        while (due.hasNext()) {
            HostChange change = due.next();
            if (change.visibleFrom().compareTo(now) > 0) {
                break;
            }
            due.remove();
            change.entry()
                    .ifPresentOrElse(entry -> hosts.put(change.daemon(), entry), () -> hosts.remove(change.daemon()));
        }
        return List.copyOf(hosts.values());
    }

    private record Versions(VersionedValue newest, Optional<VersionedValue> previous) {}

    private record HeldLease(Lease lease, Duration expires) {
        boolean valid(Duration now) {
            return now.compareTo(expires) < 0;
        }
    }

    private record HostChange(Duration visibleFrom, DaemonName daemon, Optional<HostEntry> entry) {}
}
