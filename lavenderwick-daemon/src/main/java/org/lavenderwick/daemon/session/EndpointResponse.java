package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.session.EndpointMessage.Error;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.model.LogPoint;

/**
 * The complete response of an endpoint to one request: a statement, a setup step or a status request.
 *
 * @param rows the result rows, in the order of their arrival
 * @param digest the digest of the results; empty if the request failed
 * @param error the error; empty if the request succeeded
 * @param state the state of the endpoint's session after the request
 * @param position the log position that the endpoint reported, if any
 * @param sentAt monotonic time at which the request was sent
 */
record EndpointResponse(
        List<String> rows,
        String digest,
        Optional<Error> error,
        SessionState state,
        Optional<LogPoint> position,
        Duration sentAt) {

    /** Returns whether the endpoint reported no error. */
    boolean succeeded() {
        return error.isEmpty();
    }
}
