package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.lavenderwick.adapters.session.EndpointMessage;

/** One statement on a connection and what has come of its answer so far. */
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
     * Takes the next message of the answer.
     *
     * @return whether the message may stand at this place of an answer
     */
    boolean accept(EndpointMessage message) {
        boolean ended = digest.isPresent() || error.isPresent();
        if (message instanceof EndpointMessage.Row row) {
            rows.add(row.content());
            return !ended;
        }
        if (message instanceof EndpointMessage.Complete complete) {
            digest = Optional.of(complete.digest());
            return !ended;
        }
        if (message instanceof EndpointMessage.Error failed) {
            error = Optional.of(failed);
            return !ended;
        }
        return ended;
    }

    /** Returns the complete answer. */
    EndpointResponse answer(EndpointMessage.Ready ready) {
        return new EndpointResponse(rows, digest.orElse(""), error, ready.state(), ready.position(), sentAt);
    }

    void deliver(EndpointResponse answer) {
        receiver.accept(answer);
    }
}
