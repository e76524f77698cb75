package org.lavenderwick.adapters.session;

import java.util.Optional;

import org.lavenderwick.core.model.LogPoint;

/** A message of an endpoint. */
public sealed interface EndpointMessage {

    /** One row of an answer. */
    record Row(String content) implements EndpointMessage {}

    /** The statement succeeded. */
    record Complete(String digest) implements EndpointMessage {}

    /** The statement failed. */
    record Error(EndpointError error, String detail) implements EndpointMessage {}

    /** The answer is complete. The position is that of the endpoint's log at that moment. */
    record Ready(SessionState state, Optional<LogPoint> position) implements EndpointMessage {}
}
