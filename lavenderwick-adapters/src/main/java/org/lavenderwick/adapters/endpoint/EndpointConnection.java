package org.lavenderwick.adapters.endpoint;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.Term;

/**
 * One database connection. At most one call is under way at a time. A call without a complete, matching answer within
 * its timeout completes with {@code OUTCOME_UNKNOWN} and closes the connection. Futures never complete exceptionally.
 */
public interface EndpointConnection extends AutoCloseable {

    /** Runs a request. */
    CompletableFuture<Either<Failure, EndpointReply>> execute(EndpointRequest request, Duration timeout);

    /** Asks for the state of the endpoint. */
    CompletableFuture<Either<Failure, EndpointStatus>> status(Duration timeout);

    /** Makes the endpoint promise the term; it never again votes or takes new work for earlier terms. */
    CompletableFuture<Either<Failure, EndpointStatus>> seal(Term term, Duration timeout);

    /** Makes the endpoint primary of the term, unless it has promised a later one. */
    CompletableFuture<Either<Failure, EndpointStatus>> promote(Term term, long startPosition, Duration timeout);

    /** Returns whether the connection can take another call. */
    boolean open();

    /** Closes the connection; an open transaction rolls back. */
    @Override
    void close();
}
