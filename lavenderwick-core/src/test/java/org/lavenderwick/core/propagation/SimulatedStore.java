package org.lavenderwick.core.propagation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.store.EraRevision;

/** The store of a {@link PropagationSimulation}: the version of the configuration and the entries of the daemons. */
final class SimulatedStore {

    /** Time for which the entry of a daemon stays that does not renew its lease. */
    private static final long LEASE_MILLIS = 6000;

    /** Time for which watches get no response before the history is dropped, as seen on the platform. */
    private static final long HANG_MILLIS = 2000;

    private static final long EXPIRY_CHECK_MILLIS = 500;

    /** The whole content of the store at a revision. */
    record Content(long revision, long version, Map<DaemonName, FailureDomain> members) {}

    private final PropagationSimulation simulation;
    private final Map<DaemonName, FailureDomain> members = new HashMap<>();
    private final Map<DaemonName, Long> renewedAt = new HashMap<>();
    private final List<Long> acknowledgedAt = new ArrayList<>();
    private final List<Runnable> watches = new ArrayList<>();
    private Content content = new Content(EraRevision.of(EraRevision.FIRST_ERA, 0), 0, ImmutableMap.of());
    private boolean watchesHang;
    private long historySince;
    private long calls;
    private long unstableAt = Long.MIN_VALUE / 2;

    SimulatedStore(PropagationSimulation simulation) {
        this.simulation = simulation;
        simulation.at(EXPIRY_CHECK_MILLIS, this::expireLeases);
    }

    Content content() {
        return content;
    }

    /** Counts a call that reads from the store. */
    void count() {
        calls++;
    }

    /** Returns the number of reading calls so far, including those that were refused. */
    long calls() {
        return calls;
    }

    /** Returns whether the changes after a revision can still be returned. */
    boolean hasHistorySince(long revision) {
        return revision >= historySince;
    }

    /** Returns whether watches get no response at the moment. */
    boolean watchesHang() {
        return watchesHang;
    }

    /** Returns whether the store has had no fault of its own for a time. */
    boolean isStable(long millis) {
        return simulation.now() - unstableAt > millis;
    }

    /** Returns for how long a daemon with a version has lacked the oldest change that it lacks. */
    long lagOf(long version) {
        return version >= acknowledgedAt.size() ? 0 : simulation.now() - acknowledgedAt.get((int) version);
    }

    /** Writes and confirms another version of the configuration. */
    void configure() {
        acknowledgedAt.add(simulation.now());
        change();
    }

    /** Adds the entries of daemons that have been running for a while. */
    void registerAll(Map<DaemonName, FailureDomain> daemons) {
        members.putAll(daemons);
        change();
    }

    /** Renews the lease of a daemon's entry, and writes the entry if it is missing. */
    void renew(DaemonName daemon, FailureDomain domain) {
        renewedAt.put(daemon, simulation.now());
        if (members.putIfAbsent(daemon, domain) == null) {
            change();
        }
    }

    private void expireLeases() {
        boolean expired = members.keySet()
                .removeIf(daemon -> simulation.now() - renewedAt.getOrDefault(daemon, 0L) > LEASE_MILLIS);
        if (expired) {
            change();
        }
        simulation.at(simulation.now() + EXPIRY_CHECK_MILLIS, this::expireLeases);
    }

    private void change() {
        content = new Content(content.revision() + 1, acknowledgedAt.size(), ImmutableMap.copyOf(members));
        if (!watchesHang) {
            endWatches();
        }
    }

    /** Leaves watches without a response for a while, then drops the history. */
    void dropHistory() {
        watchesHang = true;
        unstableAt = simulation.now();
        simulation.at(simulation.now() + HANG_MILLIS, () -> {
            watchesHang = false;
            unstableAt = simulation.now();
            historySince = content.revision();
            endWatches();
        });
    }

    /** Registers a watch that ends with the next change, or when the history is dropped. */
    void watch(Runnable onChange) {
        watches.add(onChange);
    }

    private void endWatches() {
        List<Runnable> ending = List.copyOf(watches);
        watches.clear();
        ending.forEach(watch -> simulation.at(simulation.now() + 4 + simulation.random.nextInt(5), watch));
    }
}
