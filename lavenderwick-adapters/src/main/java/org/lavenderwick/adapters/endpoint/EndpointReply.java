package org.lavenderwick.adapters.endpoint;

import java.util.Optional;

/**
 * Answer of an endpoint to one request.
 *
 * @param requestId id of the request
 * @param outcome what the endpoint did
 * @param results JSON array with one result a statement, when the outcome is {@code DONE}
 * @param detail plain sentence for other outcomes
 * @param status state of the endpoint when it answered
 */
public record EndpointReply(
        String requestId, EndpointOutcome outcome, Optional<byte[]> results, String detail, EndpointStatus status) {}
