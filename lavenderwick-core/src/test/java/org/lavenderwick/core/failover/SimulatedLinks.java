package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/** The links from a daemon in one failure domain to the endpoints of a group and to the platform. */
record SimulatedLinks(SimulatedGroup group, SimulatedNetwork network, int domain)
        implements EndpointControl, PromotionPort {

    @Override
    public Either<Failure, EndpointReport> status(EndpointEntry endpoint) {
        return reach(endpoint).flatMap(group::status);
    }

    @Override
    public Either<Failure, EndpointReport> pauseReplication(EndpointEntry endpoint, long term) {
        return reach(endpoint).flatMap(found -> group.pauseReplication(found, term));
    }

    @Override
    public Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term) {
        return reach(endpoint).flatMap(found -> group.stepDown(found, term));
    }

    @Override
    public Either<Failure, PromotionAnswer> promote(GroupName name, EndpointName candidate, long fencingToken) {
        if (!network.reachesStore(domain)) {
            return Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "cut off"));
        }
        group.onPromotionRequested(candidate, domain);
        return group.promote(name, candidate, fencingToken);
    }

    boolean reaches(EndpointName endpoint) {
        SimulatedEndpoint destination = group.endpoint(endpoint);
        return network.connects(domain, destination.domain) && !destination.unreachableFrom.contains(domain);
    }

    private Either<Failure, EndpointEntry> reach(EndpointEntry endpoint) {
        return reaches(endpoint.name())
                ? Either.right(endpoint)
                : Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "cut off"));
    }
}
