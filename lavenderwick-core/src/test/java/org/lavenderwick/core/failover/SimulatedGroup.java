package org.lavenderwick.core.failover;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;

/** The endpoints of one group and the order that promotes one of them. */
final class SimulatedGroup implements EndpointControl, PromotionPort {

    static final GroupName NAME = GroupName.of("db");

    /** One endpoint. */
    private static final class Endpoint {
        private boolean primary;
        private long term = 1;
        private long held;
        private boolean dead;
        private long startedAt;
        private boolean cutOff;
        private long received;
    }

    private final Simulation simulation;
    private final RandomGenerator random;
    private final Map<EndpointName, Endpoint> endpoints = new HashMap<>();
    private final List<EndpointEntry> members = new ArrayList<>();
    private EndpointName leader;
    private long newestTerm = 1;
    private int promotions;

    SimulatedGroup(Simulation simulation, RandomGenerator random) {
        this.simulation = simulation;
        this.random = random;
        for (int index = 1; index <= 3; index++) {
            EndpointName name = EndpointName.of("e" + index);
            Endpoint endpoint = new Endpoint();
            endpoint.primary = index == 1;
            endpoint.startedAt = -1_000_000;
            endpoints.put(name, endpoint);
            members.add(new EndpointEntry(
                    name,
                    NAME,
                    InetSocketAddress.createUnresolved("localhost", index),
                    FailureDomain.of("z" + index),
                    3,
                    false,
                    EndpointRole.REPLICA));
        }
        leader = members.get(0).name();
    }

    List<EndpointEntry> members() {
        return members;
    }

    /** Returns the endpoint that leads the newest term that has begun. */
    EndpointName leader() {
        return leader;
    }

    int promotions() {
        return promotions;
    }

    /** Returns when an endpoint was last started. */
    long startedAt(EndpointName name) {
        return endpoints.get(name).startedAt;
    }

    void crash(EndpointName name) {
        endpoints.get(name).dead = true;
    }

    void restart(EndpointName name) {
        Endpoint endpoint = endpoints.get(name);
        if (endpoint.dead) {
            endpoint.dead = false;
            endpoint.held = 0;
            endpoint.startedAt = simulation.now();
            // A stopped primary that restarts before another one is promoted leads again.
            endpoint.primary = name.equals(leader);
        }
    }

    /** Commits a write if the endpoint takes itself for the primary. */
    boolean commit(EndpointName name) {
        Endpoint endpoint = endpoints.get(name);
        if (endpoint.dead || !endpoint.primary) {
            return false;
        }
        endpoint.received++;
        for (Endpoint other : endpoints.values()) {
            if (other != endpoint && !other.dead && !other.primary && other.held <= endpoint.term) {
                other.received = Math.max(other.received, endpoint.received);
            }
        }
        return true;
    }

    /** Returns the report of an endpoint; empty if it is dead. */
    Either<Failure, EndpointReport> report(EndpointName name) {
        Endpoint endpoint = endpoints.get(name);
        if (endpoint.dead) {
            return Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "dead"));
        }
        return Either.right(new EndpointReport(
                endpoint.primary ? EndpointRole.PRIMARY : EndpointRole.REPLICA,
                endpoint.term,
                LogPoint.of(endpoint.term, endpoint.received),
                endpoint.held));
    }

    /** Cuts an endpoint off from those who run failovers; daemons still reach it. */
    void cutOff(EndpointName name, boolean value) {
        endpoints.get(name).cutOff = value;
    }

    private boolean isUnreachable(Endpoint endpoint) {
        return endpoint.cutOff || random.nextDouble() < simulation.endpointFaults();
    }

    @Override
    public Either<Failure, EndpointReport> status(EndpointEntry endpoint) {
        return isUnreachable(endpoints.get(endpoint.name()))
                ? Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "unreachable"))
                : report(endpoint.name());
    }

    @Override
    public Either<Failure, EndpointReport> pauseReplication(EndpointEntry endpoint, long term) {
        Endpoint found = endpoints.get(endpoint.name());
        if (found.dead || isUnreachable(found)) {
            return Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "unreachable"));
        }
        found.held = Math.max(found.held, term);
        return report(endpoint.name());
    }

    @Override
    public Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term) {
        Endpoint found = endpoints.get(endpoint.name());
        if (found.dead || isUnreachable(found)) {
            return Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "unreachable"));
        }
        if (found.term < term) {
            found.primary = false;
        }
        return report(endpoint.name());
    }

    @Override
    public Either<Failure, PromotionAnswer> promote(GroupName group, EndpointName candidate, long fencingToken) {
        Endpoint endpoint = endpoints.get(candidate);
        if (endpoint.dead) {
            return Either.right(PromotionAnswer.REFUSED);
        }
        simulation.after(200 + random.nextLong(900), () -> begin(candidate));
        return random.nextDouble() < simulation.endpointFaults()
                ? Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "no answer"))
                : Either.right(PromotionAnswer.ACCEPTED);
    }

    private void begin(EndpointName candidate) {
        Endpoint endpoint = endpoints.get(candidate);
        if (endpoint.dead || (endpoint.primary && candidate.equals(leader))) {
            return;
        }
        promotions++;
        newestTerm++;
        endpoint.primary = true;
        endpoint.term = newestTerm;
        endpoint.held = 0;
        leader = candidate;
        long begun = newestTerm;
        for (Endpoint other : endpoints.values()) {
            if (other != endpoint) {
                // A promotion ends the pauses of all replicas, also of those that do not know of it yet.
                other.held = 0;
                simulation.after(random.nextLong(800), () -> follow(other, begun));
                simulation.after(1000 + random.nextLong(6000), () -> stepDownFor(other, begun));
            }
        }
    }

    private static void follow(Endpoint endpoint, long term) {
        if (!endpoint.dead && !endpoint.primary && endpoint.term < term) {
            endpoint.term = term;
            endpoint.held = 0;
        }
    }

    private static void stepDownFor(Endpoint endpoint, long term) {
        if (!endpoint.dead && endpoint.term < term) {
            endpoint.primary = false;
            endpoint.term = term;
        }
    }
}
