package org.lavenderwick.daemon.session;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** The answers to requests that a daemon does not complete because it stops. */
final class StopFailures {

    /** The rejection of an operation or session that arrives or waits. */
    static final Failure OPERATION =
            Failure.of(ErrorKind.DRAINING, "the daemon is stopping, retry now at another daemon");

    /** The answer to a statement of a transaction that is rolled back. */
    static final Failure TRANSACTION =
            Failure.of(ErrorKind.TRANSACTION_ABORTED, "the daemon is stopping, the transaction is rolled back");

    /** The answer to a request whose outcome the daemon does not know when it ends. */
    static final Failure UNKNOWN =
            Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the daemon stopped before the request was completed");

    private static final Failure READ =
            Failure.of(ErrorKind.STATEMENT_TIMEOUT, "the daemon stopped before the read was completed");

    private StopFailures() {}

    /**
     * Returns the answer to a statement that ends now.
     *
     * @param notSent whether the statement was taken from the queue, so that it is not executed any more
     */
    static Failure of(PendingStatement pending, boolean notSent) {
        if (pending.isTransactional() && (notSent || !pending.isCommit())) {
            return TRANSACTION;
        } else if (notSent) {
            return OPERATION;
        }
        return pending.commitsWrites() ? UNKNOWN : READ;
    }
}
