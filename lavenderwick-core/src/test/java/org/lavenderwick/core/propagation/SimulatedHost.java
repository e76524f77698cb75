package org.lavenderwick.core.propagation;

import org.lavenderwick.core.model.FailureDomain;

/** The host of a {@link SimulatedDaemon}: the faults that it has, and since when it has had none. */
final class SimulatedHost {

    /** How the store treats a host. */
    enum StoreAccess {
        SERVED,
        SILENT,
        BUSY
    }

    private final PropagationSimulation simulation;
    private final FailureDomain domain;

    StoreAccess access = StoreAccess.SERVED;

    /** Whether all links to other hosts are cut. */
    boolean isolated;

    /** Whether some links to other hosts are cut. */
    boolean linksDisturbed;

    /** Longest additional delay of each message and each response of the store, in milliseconds. */
    int slowMillis;

    /** The same under a load that is no fault. */
    int busyMillis;

    private long frozenUntil;
    private long disturbedAt;
    private long noAccessAt;
    private long noLinksAt;

    SimulatedHost(PropagationSimulation simulation, FailureDomain domain) {
        this.simulation = simulation;
        this.domain = domain;
    }

    FailureDomain domain() {
        return domain;
    }

    /** Stops all processes for a while; they go on as if nothing had happened. */
    void freeze(long millis) {
        frozenUntil = simulation.now() + millis;
    }

    boolean isFrozen() {
        return simulation.now() < frozenUntil;
    }

    long frozenUntil() {
        return frozenUntil;
    }

    boolean isServed() {
        return access == StoreAccess.SERVED && !simulation.cutDomains.contains(domain);
    }

    /** Returns a random part of the additional delay. */
    long delay() {
        int millis = slowMillis + busyMillis;
        return millis == 0 ? 0 : simulation.random.nextInt(millis);
    }

    /** Records which faults there are now. */
    void observe(boolean running) {
        long now = simulation.now();
        disturbedAt = !running || isFrozen() || slowMillis > 0 ? now : disturbedAt;
        noAccessAt = isServed() ? noAccessAt : now;
        noLinksAt = isolated || linksDisturbed || simulation.cutDomains.contains(domain) ? now : noLinksAt;
    }

    private boolean isStableSince(long time) {
        return simulation.now() - time > PropagationSimulation.STABLE_MILLIS;
    }

    boolean isUndisturbed() {
        return isStableSince(disturbedAt);
    }

    /** Returns whether the host has been undisturbed and served by the store for long enough. */
    boolean hasStore() {
        return isUndisturbed() && isStableSince(noAccessAt);
    }

    /** Returns whether no link has been cut for long enough. */
    boolean hasLinks() {
        return isStableSince(noLinksAt);
    }
}
