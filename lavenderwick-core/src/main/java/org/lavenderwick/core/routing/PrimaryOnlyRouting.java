package org.lavenderwick.core.routing;

import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** Routing that sends every read to the primary. Serves as the baseline that other routings are compared with. */
public final class PrimaryOnlyRouting implements ReadRouting {

    private static final RoutingDecision NO_PRIMARY = new RoutingDecision.Reject(
            Failure.of(ErrorKind.NO_PRIMARY, "The primary cannot be reached or is leaving."));

    private PrimaryOnlyRouting() {}

    /** Returns a new instance. */
    public static PrimaryOnlyRouting create() {
        return new PrimaryOnlyRouting();
    }

    @Override
    public RoutingDecision choose(
            Collection<EndpointSnapshot> endpoints, ReadRequirements requirements, RandomGenerator random) {
        Optional<RoutingDecision> rejection = SessionWriteCheck.rejectIfWriteLost(requirements);
        return rejection.orElseGet(() -> toPrimary(endpoints));
    }

    /**
     * Returns the decision to send a read to the primary, or to wait if the primary is at its limit. If no primary is
     * usable, rejects the read with {@code NO_PRIMARY}; the caller may keep the work queued during a promotion.
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
