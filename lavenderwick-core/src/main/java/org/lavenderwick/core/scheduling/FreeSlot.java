package org.lavenderwick.core.scheduling;

import java.util.function.Predicate;

import org.lavenderwick.core.model.EndpointName;

/**
 * A free slot that is offered to the operations that wait.
 *
 * @param endpoint the endpoint of the slot
 * @param primary whether the endpoint is the primary
 * @param maxRank least urgent rank that may take the slot
 * @param contended whether other operations need the slot, so that reads wait for a replica that is about to catch up
 * @param eligible whether the endpoint may run an operation, for example because it holds the required log position
 */
public record FreeSlot(
        EndpointName endpoint, boolean primary, int maxRank, boolean contended, Predicate<Operation> eligible) {}
