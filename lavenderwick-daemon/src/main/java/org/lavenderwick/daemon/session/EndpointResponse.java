package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.session.EndpointMessage.Error;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.model.LogPoint;

/**
 * The complete answer of an endpoint to one statement.
 *
 * @param rows the rows, in order
 * @param digest the digest of a success; empty on an error
 * @param error the error, if there was one
 * @param state the transaction state that the endpoint reports
 * @param position the position of the endpoint's log
 * @param sentAt when the statement was sent
 */
record EndpointResponse(
        List<String> rows,
        String digest,
        Optional<Error> error,
        SessionState state,
        Optional<LogPoint> position,
        Duration sentAt) {

    boolean succeeded() {
        return error.isEmpty();
    }
}
