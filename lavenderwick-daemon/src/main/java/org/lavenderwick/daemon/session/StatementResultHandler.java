package org.lavenderwick.daemon.session;

import java.time.Duration;

import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * The handler of responses and lost connections. It reports the result of a statement to its session, or returns the
 * statement to the queue. A write that may have run is never sent again. A write is acknowledged only if its endpoint
 * is proven to have been the primary when it responded. Confined to the traffic thread.
 */
final class StatementResultHandler {

    /** Maximum number of times that a read is sent before its failure is reported to the session. */
    private static final int MAX_READ_ATTEMPTS = 2;

    private final GroupDispatcher dispatcher;
    private final EventLoop loop;

    StatementResultHandler(GroupDispatcher dispatcher, EventLoop loop) {
        this.dispatcher = dispatcher;
        this.loop = loop;
    }

    /** Handles the complete response to a statement. */
    void onResponse(EndpointConnection connection, PendingStatement pending, EndpointResponse response) {
        if (response.succeeded()) {
            handleSuccess(connection, pending, response);
            return;
        }
        EndpointMessage.Error error = response.error().get();
        if (pending.isTransactional()) {
            handleErrorInTransaction(pending, error);
        } else if (!error.error().mayHaveRun()) {
            if (error.error() == EndpointError.BEHIND) {
                pending.excludedEndpoints().add(connection.endpoint().name());
            }
            onNotRun(pending, error.error());
        } else if (error.error() == EndpointError.FAILED && isRetryableRead(pending)) {
            // One endpoint may fail some of its requests, so another endpoint must confirm that the statement
            // itself is at fault.
            pending.excludedEndpoints().add(connection.endpoint().name());
            requeue(pending);
        } else {
            pending.session().onFailed(pending, executionFailure(pending, error));
        }
    }

    private void handleSuccess(EndpointConnection connection, PendingStatement pending, EndpointResponse response) {
        if (!pending.commitsWrites()) {
            pending.session().onSucceeded(pending, response);
            return;
        }
        if (pending.primaryWhenSent().isEmpty()) {
            pending.session().onFailed(pending, unknown("the primary was not proven when the statement was sent"));
            return;
        }
        Duration respondedAt = loop.now();
        dispatcher
                .primaryTracker()
                .runWhenProven(
                        pending.primaryWhenSent().orElseThrow(),
                        respondedAt,
                        pending.deadline(),
                        () -> pending.session().onSucceeded(pending, response),
                        () -> pending.session().onFailed(pending, unknown("the primary may have been replaced")));
    }

    private static Failure executionFailure(PendingStatement pending, EndpointMessage.Error error) {
        if (error.error() == EndpointError.FAILED) {
            return Failure.of(ErrorKind.STATEMENT_FAILED, error.detail());
        }
        return pending.mayWrite() ? unknown(error.detail()) : Failure.of(ErrorKind.STATEMENT_TIMEOUT, error.detail());
    }

    private void handleErrorInTransaction(PendingStatement pending, EndpointMessage.Error error) {
        boolean isCommitUnknown = pending.commitsWrites() && error.error().mayHaveRun();
        if (isCommitUnknown) {
            pending.session().onFailed(pending, unknown(error.detail()));
        } else if (error.error() == EndpointError.FAILED) {
            pending.session().onFailed(pending, Failure.of(ErrorKind.STATEMENT_FAILED, error.detail()));
        } else {
            pending.session().onFailed(pending, aborted(error.detail()));
        }
    }

    /** Handles a statement that is known not to have run, and returns it to the queue if possible. */
    void onNotRun(PendingStatement pending, EndpointError error) {
        if (pending.isAbandoned()) {
            return;
        }
        if (error == EndpointError.OTHER && pending.isTransactional()) {
            pending.session().onFailed(pending, aborted("the transaction could not be opened"));
            return;
        }
        requeue(pending);
    }

    private void requeue(PendingStatement pending) {
        pending.session().onRequeued(pending);
        dispatcher.requeue(pending);
    }

    private boolean isRetryableRead(PendingStatement pending) {
        return !pending.mayWrite()
                && pending.sendCount() < MAX_READ_ATTEMPTS
                && loop.now().compareTo(pending.deadline()) < 0;
    }

    /** Handles a statement whose connection was closed before the response. */
    void onConnectionLost(PendingStatement pending) {
        boolean sent = pending.sendCount() > 0;
        if (sent && pending.commitsWrites()) {
            pending.session().onFailed(pending, unknown("the connection to the endpoint was lost"));
        } else if (pending.isTransactional()) {
            // The commit was not sent or had nothing to write, so the transaction has no effect.
            pending.session().onFailed(pending, aborted("the connection to the endpoint was lost"));
        } else if (!sent) {
            onNotRun(pending, EndpointError.OVERLOADED);
        } else if (isRetryableRead(pending)) {
            requeue(pending);
        } else {
            pending.session().onFailed(pending, Failure.of(ErrorKind.STATEMENT_TIMEOUT, "the endpoint did not answer"));
        }
    }

    private static Failure unknown(String detail) {
        return Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail);
    }

    private static Failure aborted(String detail) {
        return Failure.of(ErrorKind.TRANSACTION_ABORTED, detail);
    }
}
