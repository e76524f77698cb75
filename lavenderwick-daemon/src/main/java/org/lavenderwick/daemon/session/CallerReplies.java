package org.lavenderwick.daemon.session;

import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/** Writes answers to a caller. */
final class CallerReplies {

    private final CallerCodec codec;
    private LineConnection line;

    CallerReplies(CallerCodec codec) {
        this.codec = codec;
    }

    void attach(LineConnection connection) {
        line = connection;
    }

    void success(List<String> rows, String digest, SessionState state, Optional<LogPoint> position) {
        rows.forEach(row -> line.send(codec.row(row)));
        line.send(codec.complete(digest));
        ready(state, position);
    }

    void failure(Failure failure, SessionState state) {
        line.send(codec.error(failure));
        ready(state, Optional.empty());
    }

    void ready(SessionState state, Optional<LogPoint> position) {
        line.send(codec.ready(state, position));
    }

    /** Reports a failure that ends the session. */
    void lastFailure(Failure failure) {
        line.send(codec.error(failure));
        line.closeAfterSending();
    }
}
