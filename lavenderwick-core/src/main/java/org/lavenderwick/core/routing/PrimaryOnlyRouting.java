package org.lavenderwick.core.routing;

import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** The baseline: every read runs at the primary. */
public final class PrimaryOnlyRouting implements ReadRouting {

    private static final RoutingDecision NO_PRIMARY = new RoutingDecision.Reject(
            Failure.of(ErrorKind.NO_PRIMARY, "The primary cannot be reached or is leaving."));

    private PrimaryOnlyRouting() {}

    /** Returns the routing. */
    public static PrimaryOnlyRouting create() {
        return new PrimaryOnlyRouting();
    }

    @Override
    public RoutingDecision choose(
            Collection<EndpointSnapshot> endpoints, ReadRequirements needs, RandomGenerator random) {
        Optional<RoutingDecision> lost = SessionWriteCheck.rejectIfWriteLost(needs);
        return lost.orElseGet(() -> toPrimary(endpoints));
    }

    /**
     * Returns the route to the primary. Without a usable one the answer is {@code NO_PRIMARY}; the caller may keep the
     * work in the queue while a promotion runs.
     */
    static RoutingDecision toPrimary(Collection<EndpointSnapshot> endpoints) {
        for (EndpointSnapshot endpoint : endpoints) {
            if (endpoint.primary() && endpoint.isUsable()) {
                return endpoint.hasCapacity()
                        ? new RoutingDecision.SendTo(endpoint.name(), true)
                        : new RoutingDecision.Wait();
            }
        }
        return NO_PRIMARY;
    }
}
