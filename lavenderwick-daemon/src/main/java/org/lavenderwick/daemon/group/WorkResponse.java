package org.lavenderwick.daemon.group;

import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;

/**
 * Answer to work that ran.
 *
 * @param results JSON array with one result a statement
 * @param point end of the log of the endpoint when it answered
 * @param endpoint the endpoint
 * @param primary whether the endpoint ran it as primary
 * @param wrote whether the work committed changes, so that the session must see the point from now on
 * @param transactionId id of the transaction that the work began
 */
public record WorkResponse(
        byte[] results,
        LogPoint point,
        EndpointName endpoint,
        boolean servedByPrimary,
        boolean wrote,
        Optional<String> transactionId) {}
