package org.lavenderwick.core.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.lavenderwick.core.model.EndpointName;

/** A simulated fleet: one daemon in each failure domain, in front of one group, with the store that they share. */
final class SimulatedFleet {

    static final int DAEMONS = SimulatedGroup.DOMAINS;

    private final Simulation simulation = new Simulation();
    private final Random random;
    private final Safeguards safeguards;
    private final SimulatedNetwork network = new SimulatedNetwork();
    private final SimulatedStore store;
    private final SimulatedGroup group;
    private final List<SimulatedDaemon> daemons = new ArrayList<>();
    private final List<SimulatedDaemon> stopped = new ArrayList<>();

    SimulatedFleet(long seed, Safeguards safeguards) {
        this.random = new Random(seed);
        this.safeguards = safeguards;
        this.store = new SimulatedStore(
                simulation, random, safeguards.has(Safeguard.LEASE_REVOCATION), safeguards.has(Safeguard.ERA));
        this.group = new SimulatedGroup(simulation, random, network);
        group.registerIn(store);
    }

    /** Starts the daemons. */
    void start() {
        for (int domain = 0; domain < DAEMONS; domain++) {
            daemons.add(newDaemon(domain));
        }
        daemons.forEach(SimulatedDaemon::start);
    }

    private SimulatedDaemon newDaemon(int domain) {
        SimulatedDaemon daemon = new SimulatedDaemon(simulation, random, store, group, network, domain, safeguards);
        daemon.join(daemons);
        return daemon;
    }

    Simulation simulation() {
        return simulation;
    }

    Random random() {
        return random;
    }

    SimulatedStore store() {
        return store;
    }

    SimulatedGroup group() {
        return group;
    }

    SimulatedNetwork network() {
        return network;
    }

    SimulatedDaemon daemon(int domain) {
        return daemons.get(domain);
    }

    List<SimulatedDaemon> daemons() {
        return List.copyOf(daemons);
    }

    /** Ends a daemon and starts another one in its place, which knows nothing. */
    void restart(int domain) {
        SimulatedDaemon old = daemons.get(domain);
        old.stop();
        stopped.add(old);
        SimulatedDaemon fresh = newDaemon(domain);
        daemons.set(domain, fresh);
        fresh.start();
    }

    /** Cuts a failure domain off from the other ones and from the store. */
    void cut(int domain) {
        network.setCut(domain, true);
        group.expireDomain(domain);
    }

    /** Ends the cut of a failure domain. */
    void heal(int domain) {
        network.setCut(domain, false);
        group.registerDomain(domain);
    }

    /** Makes the store unreachable for all. */
    void stopStore() {
        network.setStoreDown(true);
    }

    /** Ends the outage of the store. */
    void startStore() {
        network.setStoreDown(false);
        for (int domain = 0; domain < DAEMONS; domain++) {
            group.registerDomain(domain);
        }
    }

    /** Crashes all endpoints but the primary; returns them. */
    List<EndpointName> crashReplicas() {
        List<EndpointName> replicas = group.members().stream()
                .map(entry -> entry.name())
                .filter(name -> !name.equals(group.leader()))
                .toList();
        replicas.forEach(group::crash);
        return replicas;
    }

    /** Applies a change and undoes it after a while. */
    void applyTemporarily(long startMillis, long durationMillis, Runnable apply, Runnable undo) {
        simulation.schedule(startMillis, apply);
        simulation.schedule(startMillis + durationMillis, undo);
    }

    /** Returns the first violation that a daemon has noticed; empty if there is none. */
    String violation() {
        List<SimulatedDaemon> all = new ArrayList<>(daemons);
        all.addAll(stopped);
        return all.stream()
                .map(SimulatedDaemon::violation)
                .filter(text -> !text.isEmpty())
                .findFirst()
                .orElse("");
    }
}
