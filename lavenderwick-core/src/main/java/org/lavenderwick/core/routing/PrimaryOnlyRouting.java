package org.lavenderwick.core.routing;

import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** The baseline: every read runs at the primary. */
public final class PrimaryOnlyRouting implements ReadRouting {

    private static final Route NO_PRIMARY =
            new Route.Refuse(Failure.of(ErrorKind.NO_PRIMARY, "The primary cannot be reached or is leaving."));

    private PrimaryOnlyRouting() {}

    /** Returns the routing. */
    public static PrimaryOnlyRouting create() {
        return new PrimaryOnlyRouting();
    }

    @Override
    public Route choose(Collection<EndpointView> endpoints, ReadNeeds needs, RandomGenerator random) {
        Optional<Route> lost = SessionRule.refusal(needs);
        return lost.orElseGet(() -> toPrimary(endpoints));
    }

    /**
     * Returns the route to the primary. Without a usable one the answer is {@code NO_PRIMARY}; the caller may keep the
     * work in the queue while a promotion runs.
     */
    static Route toPrimary(Collection<EndpointView> endpoints) {
        for (EndpointView endpoint : endpoints) {
            if (endpoint.primary() && endpoint.usable()) {
                return endpoint.hasRoom() ? new Route.To(endpoint.name(), true) : new Route.Wait();
            }
        }
        return NO_PRIMARY;
    }
}
