package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/** Sends responses to a caller and logs each failed request. Confined to the traffic thread. */
final class CallerResponseWriter {

    private final CallerCodec codec;
    private final EventLoop loop;
    private final RequestLog log;
    private LineConnection line;
    private RequestLog.Request request = new RequestLog.Request("-", "-", Duration.ZERO);

    CallerResponseWriter(CallerCodec codec, EventLoop loop, RequestLog log) {
        this.codec = codec;
        this.loop = loop;
        this.log = log;
    }

    void attach(LineConnection connection) {
        line = connection;
    }

    /** Records the request that the next response belongs to, and the current time as its time of arrival. */
    void beginRequest(String id, String database) {
        request = new RequestLog.Request(id, database, loop.now());
    }

    /** Sends the rows and the digest of a successful request, and the state of the session after it. */
    void sendSuccess(List<String> rows, String digest, SessionState state, Optional<LogPoint> position) {
        rows.forEach(row -> line.send(codec.row(row)));
        line.send(codec.complete(digest));
        sendReady(state, position);
    }

    /**
     * Logs and sends a failure.
     *
     * @param statement the queued statement that the request led to; empty if the request failed before
     */
    void sendFailure(Optional<PendingStatement> statement, Failure failure, SessionState state) {
        log.logFailure(request, statement, failure);
        line.send(codec.error(failure));
        sendReady(state, Optional.empty());
    }

    /** Logs a failure that ends the session on a database, or keeps it from opening. */
    void logRejection(String database, Failure failure) {
        log.logFailure(new RequestLog.Request("-", database, loop.now()), Optional.empty(), failure);
    }

    /** Sends the line that ends a response and tells the caller the state of the session. */
    void sendReady(SessionState state, Optional<LogPoint> position) {
        line.send(codec.ready(state, position));
    }

    /** Sends a failure that ends the session, then closes the connection. The failure is not logged. */
    void sendFailureAndClose(Failure failure) {
        line.send(codec.error(failure));
        line.closeAfterSending();
    }
}
