package org.lavenderwick.daemon.session;

import java.time.Duration;

import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * What becomes of a statement after an endpoint has answered or failed to. A write is never sent twice, and is
 * acknowledged only if its endpoint was the primary when it answered.
 */
final class StatementResultHandler {

    /** Times that a statement which only reads is sent before its failure is passed on. */
    private static final int MAX_READ_SENDINGS = 2;

    private final GroupDispatcher dispatcher;
    private final EventLoop loop;

    StatementResultHandler(GroupDispatcher dispatcher, EventLoop loop) {
        this.dispatcher = dispatcher;
        this.loop = loop;
    }

    /** Handles a complete answer. */
    void onResponse(EndpointConnection connection, PendingStatement work, EndpointResponse answer) {
        if (answer.succeeded()) {
            succeeded(connection, work, answer);
            return;
        }
        EndpointMessage.Error error = answer.error().get();
        if (work.isTransactional()) {
            failedInTransaction(work, error);
        } else if (!error.error().mayHaveRun()) {
            if (error.error() == EndpointError.BEHIND) {
                work.excludedEndpoints().add(connection.endpoint().name());
            }
            onNotRun(work, error.error());
        } else if (error.error() == EndpointError.FAILED && mayReadAgain(work)) {
            // An endpoint may fail part of its requests; another one shows whether the statement is at fault.
            work.excludedEndpoints().add(connection.endpoint().name());
            requeue(work);
        } else {
            work.session().onFailed(work, ran(work, error));
        }
    }

    private void succeeded(EndpointConnection connection, PendingStatement work, EndpointResponse answer) {
        if (!work.commitsWrites()) {
            work.session().onSucceeded(work, answer);
            return;
        }
        if (work.primaryWhenSent().isEmpty()) {
            work.session().onFailed(work, unknown("the primary was not proven when the statement was sent"));
            return;
        }
        Duration answeredAt = loop.now();
        dispatcher
                .primaryTracker()
                .runWhenProven(
                        work.primaryWhenSent().orElseThrow(),
                        answeredAt,
                        work.deadline(),
                        () -> work.session().onSucceeded(work, answer),
                        () -> work.session().onFailed(work, unknown("the primary may have been replaced")));
    }

    private static Failure ran(PendingStatement work, EndpointMessage.Error error) {
        if (error.error() == EndpointError.FAILED) {
            return Failure.of(ErrorKind.STATEMENT_FAILED, error.detail());
        }
        return work.mayWrite() ? unknown(error.detail()) : Failure.of(ErrorKind.STATEMENT_TIMEOUT, error.detail());
    }

    private void failedInTransaction(PendingStatement work, EndpointMessage.Error error) {
        boolean unknownCommit = work.commitsWrites() && error.error().mayHaveRun();
        if (unknownCommit) {
            work.session().onFailed(work, unknown(error.detail()));
        } else if (error.error() == EndpointError.FAILED) {
            work.session().onFailed(work, Failure.of(ErrorKind.STATEMENT_FAILED, error.detail()));
        } else {
            work.session().onFailed(work, aborted(error.detail()));
        }
    }

    /** Handles work that certainly did not run; it goes back to the queue while there is time. */
    void onNotRun(PendingStatement work, EndpointError error) {
        if (work.isAbandoned()) {
            return;
        }
        if (error == EndpointError.OTHER && work.isTransactional()) {
            work.session().onFailed(work, aborted("the transaction could not be opened"));
            return;
        }
        requeue(work);
    }

    private void requeue(PendingStatement work) {
        work.session().onRequeued(work);
        dispatcher.requeue(work);
    }

    private boolean mayReadAgain(PendingStatement work) {
        return !work.mayWrite()
                && work.sendCount() < MAX_READ_SENDINGS
                && loop.now().compareTo(work.deadline()) < 0;
    }

    /** Handles work whose connection ended before the answer. */
    void onConnectionLost(PendingStatement work) {
        boolean sent = work.sendCount() > 0;
        if (sent && work.commitsWrites()) {
            work.session().onFailed(work, unknown("the connection to the endpoint was lost"));
        } else if (work.isTransactional()) {
            // Its commit was not sent or had nothing to write, so nothing is kept.
            work.session().onFailed(work, aborted("the connection to the endpoint was lost"));
        } else if (!sent) {
            onNotRun(work, EndpointError.OVERLOADED);
        } else if (mayReadAgain(work)) {
            requeue(work);
        } else {
            work.session().onFailed(work, Failure.of(ErrorKind.STATEMENT_TIMEOUT, "the endpoint did not answer"));
        }
    }

    private static Failure unknown(String detail) {
        return Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail);
    }

    private static Failure aborted(String detail) {
        return Failure.of(ErrorKind.TRANSACTION_ABORTED, detail);
    }
}
