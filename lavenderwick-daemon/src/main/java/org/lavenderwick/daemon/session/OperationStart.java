package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.ratelimit.Permit;
import org.lavenderwick.core.ratelimit.PermitAsker;

/**
 * The start of an operation: a single statement, or the first statement of a transaction. It needs a permit if the
 * account of its session is limited. Confined to the traffic thread.
 */
final class OperationStart {

    private final Optional<RateLimiter> limiter;

    /**
     * Creates an instance.
     *
     * @param limiter empty if no operations are limited
     */
    OperationStart(Optional<RateLimiter> limiter) {
        this.limiter = limiter;
    }

    /** Returns what keeps the limits; empty if no operations are limited. */
    Optional<RateLimiter> limiter() {
        return limiter;
    }

    /** Responds to a request of another daemon for permits; closes the connection if operations are not limited. */
    void onPermitRequest(LineConnection line, String text) {
        limiter.ifPresentOrElse(present -> present.onRequest(line, text), line::close);
    }

    /** Handles timeouts; returns whether anything is outstanding. */
    boolean tick(Duration now) {
        return limiter.isPresent() && limiter.get().tick(now);
    }

    /** Submits an operation to a dispatcher once it has a permit, or rejects it. */
    void submit(PendingStatement pending, GroupDispatcher dispatcher) {
        boolean limited = limiter.isPresent()
                && pending.account().filter(limiter.get()::isLimited).isPresent();
        if (!limited) {
            dispatcher.submit(pending);
            return;
        }
        limiter.get().acquire(pending.account().get(), new PermitAsker.Callback() {
            @Override
            public void onGranted(Permit permit) {
                if (pending.isAbandoned()) {
                    limiter.get().giveBack(permit);
                } else {
                    pending.recordPermit(permit);
                    dispatcher.submit(pending);
                }
            }

            @Override
            public void onRejected(Duration retryAfter) {
                if (!pending.isAbandoned()) {
                    pending.session().onFailed(pending, rejection(retryAfter));
                }
            }
        });
    }

    private static Failure rejection(Duration retryAfter) {
        return Failure.of(
                ErrorKind.RATE_LIMITED,
                "the rate limit of the account is reached, retry after " + retryAfter.toMillis() + " ms");
    }

    /** Gives back the permit of an operation that failed, if nothing of it has run. */
    void onFailed(PendingStatement pending, Failure failure) {
        boolean notRun = failure.kind().execution() == Execution.NOT_RUN
                && (pending.sendCount() == 0 || failure.kind() != ErrorKind.TRANSACTION_ABORTED);
        if (limiter.isPresent() && notRun) {
            pending.takePermit().ifPresent(limiter.get()::giveBack);
        }
    }
}
