package org.lavenderwick.core.routing;

import java.util.Collection;
import java.util.random.RandomGenerator;

/** Chooses the endpoint that answers a read. Implementations are stateless and thread-safe. */
public interface ReadRouting {

    /** Chooses among the endpoints of the group. Linear in their number. */
    RoutingDecision choose(Collection<EndpointSnapshot> endpoints, ReadRequirements needs, RandomGenerator random);
}
