package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/** Writes answers to a caller, and the failures among them to the log. */
final class CallerReplies {

    private final CallerCodec codec;
    private final EventLoop loop;
    private final RequestLog log;
    private LineConnection line;
    private RequestLog.Request request = new RequestLog.Request("-", "-", Duration.ZERO);

    CallerReplies(CallerCodec codec, EventLoop loop, RequestLog log) {
        this.codec = codec;
        this.loop = loop;
        this.log = log;
    }

    void attach(LineConnection connection) {
        line = connection;
    }

    /** Notes the request that is answered next. */
    void asked(String id, String database) {
        request = new RequestLog.Request(id, database, loop.now());
    }

    void success(List<String> rows, String digest, SessionState state, Optional<LogPoint> position) {
        rows.forEach(row -> line.send(codec.row(row)));
        line.send(codec.complete(digest));
        ready(state, position);
    }

    /** Reports a failure, with the work that the request led to, if any. */
    void failure(Optional<PendingStatement> work, Failure failure, SessionState state) {
        log.failed(request, work, failure);
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
