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

/** A simulated group of endpoints, together with the platform service that promotes them. */
final class SimulatedGroup implements EndpointControl, PromotionPort {

    static final GroupName NAME = GroupName.of("db");

    /** The state of one endpoint. */
    private static final class Endpoint {
        private boolean primary;
        private long term = 1;
        private long promisedTerm;
        private boolean crashed;
        private long startedAt;
        private boolean isolated;
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

    /** Returns the primary of the newest term. */
    EndpointName leader() {
        return leader;
    }

    int promotions() {
        return promotions;
    }

    /** Returns when an endpoint was last started, in simulated milliseconds. */
    long startedAt(EndpointName name) {
        return endpoints.get(name).startedAt;
    }

    void crash(EndpointName name) {
        endpoints.get(name).crashed = true;
    }

    void restart(EndpointName name) {
        Endpoint endpoint = endpoints.get(name);
        if (endpoint.crashed) {
            endpoint.crashed = false;
            endpoint.promisedTerm = 0;
            endpoint.startedAt = simulation.now();
            // A primary that restarts before another endpoint is promoted is the primary again.
            endpoint.primary = name.equals(leader);
        }
    }

    /** Commits a write if the endpoint considers itself the primary, and returns whether it did. */
    boolean commit(EndpointName name) {
        Endpoint endpoint = endpoints.get(name);
        if (endpoint.crashed || !endpoint.primary) {
            return false;
        }
        endpoint.received++;
        for (Endpoint other : endpoints.values()) {
            if (other != endpoint && !other.crashed && !other.primary && other.promisedTerm <= endpoint.term) {
                other.received = Math.max(other.received, endpoint.received);
            }
        }
        return true;
    }

    /** Returns the report of an endpoint, or a failure if it has crashed. */
    Either<Failure, EndpointReport> report(EndpointName name) {
        Endpoint endpoint = endpoints.get(name);
        if (endpoint.crashed) {
            return Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "crashed"));
        }
        return Either.right(new EndpointReport(
                endpoint.primary ? EndpointRole.PRIMARY : EndpointRole.REPLICA,
                endpoint.term,
                LogPoint.of(endpoint.term, endpoint.received),
                endpoint.promisedTerm));
    }

    /** Sets whether failovers cannot reach an endpoint. Daemons still receive its reports and send it writes. */
    void setIsolated(EndpointName name, boolean isolated) {
        endpoints.get(name).isolated = isolated;
    }

    private boolean isUnreachable(Endpoint endpoint) {
        return endpoint.isolated || random.nextDouble() < simulation.endpointFaultRate();
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
        if (found.crashed || isUnreachable(found)) {
            return Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "unreachable"));
        }
        found.promisedTerm = Math.max(found.promisedTerm, term);
        return report(endpoint.name());
    }

    @Override
    public Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term) {
        Endpoint found = endpoints.get(endpoint.name());
        if (found.crashed || isUnreachable(found)) {
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
        if (endpoint.crashed) {
            return Either.right(PromotionAnswer.REFUSED);
        }
        simulation.schedule(200 + random.nextLong(900), () -> completePromotion(candidate));
        return random.nextDouble() < simulation.endpointFaultRate()
                ? Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "no response"))
                : Either.right(PromotionAnswer.ACCEPTED);
    }

    private void completePromotion(EndpointName candidate) {
        Endpoint endpoint = endpoints.get(candidate);
        if (endpoint.crashed || (endpoint.primary && candidate.equals(leader))) {
            return;
        }
        promotions++;
        newestTerm++;
        endpoint.primary = true;
        endpoint.term = newestTerm;
        endpoint.promisedTerm = 0;
        leader = candidate;
        long newTerm = newestTerm;
        for (Endpoint other : endpoints.values()) {
            if (other != endpoint) {
                // A promotion clears the promises of all replicas, including those that do not know the new term yet.
                other.promisedTerm = 0;
                simulation.schedule(random.nextLong(800), () -> follow(other, newTerm));
                simulation.schedule(1000 + random.nextLong(6000), () -> demoteFor(other, newTerm));
            }
        }
    }

    private static void follow(Endpoint endpoint, long term) {
        if (!endpoint.crashed && !endpoint.primary && endpoint.term < term) {
            endpoint.term = term;
            endpoint.promisedTerm = 0;
        }
    }

    private static void demoteFor(Endpoint endpoint, long term) {
        if (!endpoint.crashed && endpoint.term < term) {
            endpoint.primary = false;
            endpoint.term = term;
        }
    }
}
