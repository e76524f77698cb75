package org.lavenderwick.daemon.group;

import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;

/**
 * The response to a request that ran successfully.
 *
 * @param results JSON array with one result per statement
 * @param point end of the endpoint's log when it responded
 * @param endpoint the endpoint that ran the request
 * @param servedByPrimary whether the endpoint was primary when it ran the request
 * @param wrote whether the request committed changes, so that later reads of the session must observe the point
 * @param transactionId id of the transaction that the request began; empty for all other requests
 */
public record WorkResponse(
        byte[] results,
        LogPoint point,
        EndpointName endpoint,
        boolean servedByPrimary,
        boolean wrote,
        Optional<String> transactionId) {}
