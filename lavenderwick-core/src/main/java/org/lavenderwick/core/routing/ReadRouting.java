package org.lavenderwick.core.routing;

import java.util.Collection;
import java.util.random.RandomGenerator;

/** Policy that selects the endpoint for a read. Implementations are stateless and thread-safe. */
public interface ReadRouting {

    /** Returns the decision for a read, in time linear in the number of endpoints of the database group. */
    RoutingDecision choose(
            Collection<EndpointSnapshot> endpoints, ReadRequirements requirements, RandomGenerator random);
}
