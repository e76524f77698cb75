package org.lavenderwick.adapters.caller;

import java.util.Optional;

/**
 * Answer to a request that ran.
 *
 * @param results JSON array with one result a statement
 * @param session token that the caller sends with its next request
 * @param transaction handle of the transaction that the request began
 * @param endpoint name of the endpoint that ran the statements
 * @param primary whether that endpoint was the primary
 */
public record CallerAnswer(
        byte[] results,
        Optional<String> session,
        Optional<String> transaction,
        Optional<String> endpoint,
        boolean primary) {}
