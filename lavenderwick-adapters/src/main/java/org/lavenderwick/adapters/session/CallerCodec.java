package org.lavenderwick.adapters.session;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/** The messages between callers and the daemon, one line each, without the line end. */
public interface CallerCodec {

    /** Parses a line of a caller; a failure ends the session. */
    Either<Failure, CallerMessage> parse(String line);

    /** Returns a line that opens a session on a database and has a placeholder instead of the caller's credential. */
    String connect(String database);

    /** Returns the line that carries one row of an answer. */
    String row(String content);

    /** Returns the line that reports success. */
    String complete(String digest);

    /** Returns the line that reports a failure. */
    String error(Failure failure);

    /** Returns the line that ends an answer. */
    String ready(SessionState state, Optional<LogPoint> position);
}
