package org.lavenderwick.core.balancing;

import java.util.List;
import java.util.Optional;

import org.lavenderwick.core.dispatch.EndpointLoad;

/** Selects one of several endpoints that are equally suitable apart from their load. */
@FunctionalInterface
public interface LoadSelector {

    /** Returns the preferred endpoint below its limit for a statement of the given rank; empty if there is none. */
    Optional<EndpointLoad> select(List<EndpointLoad> eligible, int rank);
}
