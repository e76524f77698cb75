package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.lavenderwick.adapters.session.EndpointMessage;

/** A request on a connection to an endpoint, with the part of its response that has arrived so far. */
final class PendingResponse {

    private final Duration sentAt;
    private final Consumer<EndpointResponse> receiver;
    private final List<String> rows = new ArrayList<>();
    private Optional<String> digest = Optional.empty();
    private Optional<EndpointMessage.Error> error = Optional.empty();

    PendingResponse(Duration sentAt, Consumer<EndpointResponse> receiver) {
        this.sentAt = sentAt;
        this.receiver = receiver;
    }

    Duration sentAt() {
        return sentAt;
    }

    /**
     * Adds the next message of the response.
     *
     * @return whether the message is allowed at this point of a response
     */
    boolean accept(EndpointMessage message) {
        boolean isResultComplete = digest.isPresent() || error.isPresent();
        if (message instanceof EndpointMessage.Row row) {
            rows.add(row.content());
            return !isResultComplete;
        }
        if (message instanceof EndpointMessage.Complete complete) {
            digest = Optional.of(complete.digest());
            return !isResultComplete;
        }
        if (message instanceof EndpointMessage.Error failure) {
            error = Optional.of(failure);
            return !isResultComplete;
        }
        return isResultComplete;
    }

    /** Returns the complete response, which the given message ends. */
    EndpointResponse toResponse(EndpointMessage.Ready ready) {
        return new EndpointResponse(rows, digest.orElse(""), error, ready.state(), ready.position(), sentAt);
    }

    /** Passes the complete response to the receiver of this request. */
    void deliver(EndpointResponse response) {
        receiver.accept(response);
    }
}
