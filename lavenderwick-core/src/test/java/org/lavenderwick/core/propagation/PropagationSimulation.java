package org.lavenderwick.core.propagation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * A fleet of daemons that read changes from a simulated store and from each other, in simulated time. The daemons
 * decide with the classes of this package; the network, the store and the faults are simulated. All times are in
 * milliseconds.
 */
final class PropagationSimulation {

    /** Time for which a daemon must have been undisturbed before the bound holds for it. */
    static final long STABLE_MILLIS = 4000;

    /** Part of the fleet that must have the store before the bound holds for daemons that it refuses. */
    private static final int ACCESS_DIVISOR = 3;

    private static final long SAMPLE_MILLIS = 50;

    private record Event(long at, long order, Runnable action) {}

    /** A daemon that lacked a change at a time. */
    record Lag(long millis, long at, DaemonName daemon) {

        static final Lag NONE = new Lag(0, 0, DaemonName.of("none"));

        Lag max(Lag other) {
            return other.millis > millis ? other : this;
        }
    }

    final Random random;
    final SimulatedStore store;
    final List<SimulatedDaemon> daemons = new ArrayList<>();
    final Map<DaemonName, FailureDomain> domains = new HashMap<>();
    final Set<FailureDomain> cutDomains = new HashSet<>();
    private final Map<DaemonName, SimulatedDaemon> byName = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Duration bound;
    private final DenialRule denials;
    private boolean datesByArrival;
    private long now;
    private long eventCount;
    private Lag worstLag = Lag.NONE;
    private Lag worstDenial = Lag.NONE;

    PropagationSimulation(long seed, Duration bound, int size, int domainCount) {
        this.random = new Random(seed);
        this.bound = bound;
        this.denials = DenialRule.of(bound);
        this.store = new SimulatedStore(this);
        for (int index = 0; index < size; index++) {
            at(random.nextInt(300), addDaemon(FailureDomain.of("z" + index % domainCount))::start);
        }
        store.registerAll(domains);
        at(SAMPLE_MILLIS, this::sample);
    }

    /** Adds a daemon that has not been started. */
    SimulatedDaemon addDaemon(FailureDomain domain) {
        DaemonName name = DaemonName.of("d" + daemons.size());
        SimulatedDaemon daemon = new SimulatedDaemon(this, name, domain);
        domains.put(name, domain);
        daemons.add(daemon);
        byName.put(name, daemon);
        return daemon;
    }

    /** Makes the daemons date the content of feeds from its arrival, as those of earlier versions do. */
    void dateByArrival() {
        datesByArrival = true;
    }

    boolean datesByArrival() {
        return datesByArrival;
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.remove();
            now = event.at;
            event.action.run();
        }
    }

    Duration bound() {
        return bound;
    }

    long now() {
        return now;
    }

    Duration time() {
        return Duration.ofMillis(now);
    }

    SimulatedDaemon daemon(DaemonName name) {
        return byName.get(name);
    }

    /** Returns a random part of the daemons, at least one. */
    List<SimulatedDaemon> some(double share) {
        List<SimulatedDaemon> shuffled = new ArrayList<>(daemons);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.max(1, (int) (daemons.size() * share)));
    }

    void cutLink(SimulatedDaemon from, SimulatedDaemon to) {
        cutLinks.add(from.name() + ">" + to.name());
        from.host().linksDisturbed = true;
    }

    void healLinks(SimulatedDaemon from) {
        cutLinks.removeIf(link -> link.startsWith(from.name() + ">"));
        from.host().linksDisturbed = false;
    }

    /** Returns whether what one daemon sends arrives at another one now. */
    boolean reaches(SimulatedDaemon from, SimulatedDaemon to) {
        boolean sameSide = from.domain().equals(to.domain())
                || !(cutDomains.contains(from.domain()) || cutDomains.contains(to.domain()));
        return sameSide
                && !((from.host().isolated || to.host().isolated) && from != to)
                && (cutLinks.isEmpty() || !cutLinks.contains(from.name() + ">" + to.name()));
    }

    /** Returns the longest time for which a daemon for which the bound holds has lacked a change. */
    Lag worstLag() {
        return worstLag;
    }

    /** Returns the longest time for which any daemon has lacked a change whose existence it would have denied. */
    Lag worstDenial() {
        return worstDenial;
    }

    private void sample() {
        long withAccess = 0;
        for (SimulatedDaemon daemon : daemons) {
            daemon.host().observe(daemon.isRunning());
            withAccess += daemon.host().hasStore() ? 1 : 0;
        }
        boolean enoughAccess = withAccess * ACCESS_DIVISOR >= daemons.size();
        for (SimulatedDaemon daemon : daemons) {
            if (!daemon.isRunning() || !daemon.isConfigured()) {
                continue;
            }
            Lag lag = new Lag(store.lagOf(daemon.version()), now, daemon.name());
            boolean due = store.isStable(STABLE_MILLIS)
                    && daemon.host().isUndisturbed()
                    && (daemon.host().hasStore()
                            || (enoughAccess && daemon.host().hasLinks()));
            if (due) {
                worstLag = worstLag.max(lag);
            }
            if (denials.permits(daemon.status(), Duration.ofMillis(-1), time())) {
                worstDenial = worstDenial.max(lag);
            }
        }
        at(now + SAMPLE_MILLIS, this::sample);
    }
}
