package org.lavenderwick.daemon.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.admission.RetryBudget;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.group.WorkFailure;
import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkResponse;
import org.lavenderwick.daemon.group.WorkRunner;
import org.lavenderwick.daemon.peer.PeerClient;
import org.lavenderwick.daemon.peer.PeerFailure;
import org.lavenderwick.daemon.peer.PeerHealth;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/**
 * Sends requests to the owners of their database group, lead owner first. Thread-safe.
 *
 * <ul>
 *   <li>A request that was certainly not sent, or that an owner rejected without running it, goes to the next owner.
 *   <li>A request that was sent and got no response is retried, within the retry budget, only if it is retryable.
 *   <li>Any other request that was sent and got no response fails with an unknown outcome.
 * </ul>
 */
public final class OwnerRelay {
    /** Delay before all owners are tried again, which lets the handover of a seat finish. */
    private static final Duration ROUND_DELAY = Duration.ofMillis(150);

    /** Failures of an owner that did not run the request, while another owner may be able to. */
    private static final Set<ErrorKind> TRY_NEXT_OWNER = Set.of(
            ErrorKind.OWNER_UNREACHABLE, ErrorKind.DRAINING, ErrorKind.NOT_CONFIGURED, ErrorKind.TERM_UNCONFIRMED);

    /** Tolerance for call timeouts, which are truncated to milliseconds and may expire just before the deadline. */
    private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(10);

    private static final int MAX_ROUNDS = 3;
    private static final int INITIAL_RETRIES = 10;
    private static final Logger LOG = Logger.getLogger(OwnerRelay.class);

    private final Self self;
    private final SeatTableHolder seats;
    private final GroupDirectory groups;
    private final PeerClient peers;
    private final PeerHealth health;
    private final Duration checkAfter;
    private final MonotonicClock clock;
    private final ScheduledExecutorService timer;
    private final RetryBudget retries = RetryBudget.create(INITIAL_RETRIES);

    /**
     * Creates a relay.
     *
     * @param self identity of this daemon process
     * @param seats holder of the seat table in force
     * @param groups the groups that this daemon owns
     * @param peers client for calls to other daemons
     * @param health tracks which daemons are unreachable
     * @param checkAfter time without a response after which the reachability of an owner is checked, and interval of
     *     further checks
     * @param clock monotonic clock
     * @param timer runs delayed attempts and checks
     */
    public OwnerRelay(
            Self self,
            SeatTableHolder seats,
            GroupDirectory groups,
            PeerClient peers,
            PeerHealth health,
            Duration checkAfter,
            MonotonicClock clock,
            ScheduledExecutorService timer) {
        this.self = self;
        this.seats = seats;
        this.groups = groups;
        this.peers = peers;
        this.health = health;
        this.checkAfter = checkAfter;
        this.clock = clock;
        this.timer = timer;
    }

    /** Runs a request at an owner of its group. The future always completes, never exceptionally. */
    public CompletableFuture<Either<WorkFailure, RelayedResponse>> run(WorkRequest work, OwnerSelector selector) {
        synchronized (retries) {
            retries.recordRequest();
        }
        RelayedRequest request = new RelayedRequest(work, selector);
        request.tryNextOwner();
        return request.result;
    }

    private boolean tryAcquireRetry() {
        synchronized (retries) {
            return retries.tryAcquireRetry();
        }
    }

    /** A request with its attempts, of which at most one is in flight. */
    private final class RelayedRequest {
        private final WorkRequest work;
        private final OwnerSelector selector;
        private final CompletableFuture<Either<WorkFailure, RelayedResponse>> result = new CompletableFuture<>();
        private final Set<String> tried = new HashSet<>();
        private Optional<Failure> lastRejection = Optional.empty();
        private boolean mayHaveRun;
        private int round = 1;
        private int attempts;
        private Future<?> nextCheck;

        RelayedRequest(WorkRequest work, OwnerSelector selector) {
            this.work = work;
            this.selector = selector;
        }

        synchronized void tryNextOwner() {
            Duration now = clock.now();
            if (now.compareTo(work.deadline()) >= 0) {
                fail(lastRejection.orElse(Failure.of(
                        ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before an owner took the work.")));
                return;
            }
            Owners owners = seats.owners();
            List<Seat> candidates = selector.candidates(owners);
            Optional<Seat> owner = candidates.stream()
                    .filter(seat -> !tried.contains(seat.address()))
                    .min((first, second) ->
                            Boolean.compare(health.suspected(first.address()), health.suspected(second.address())));
            if (owner.isPresent()) {
                tried.add(owner.get().address());
                boolean fallback = !owner.get().equals(candidates.get(0));
                attempt(owner.get(), owners.table().version(), fallback);
            } else if (candidates.isEmpty() && selector.isPinned()) {
                fail(Failure.of(
                        ErrorKind.UNKNOWN_TRANSACTION,
                        "The daemon that ran the transaction has ended; it rolled back."));
            } else if (round < MAX_ROUNDS) {
                round++;
                tried.clear();
                timer.schedule(this::tryNextOwner, ROUND_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            } else {
                fail(lastRejection
                        .filter(last -> last.kind() == ErrorKind.TERM_UNCONFIRMED)
                        .orElse(Failure.of(
                                ErrorKind.OWNER_UNREACHABLE, "No owner of the database group can be reached.")));
            }
        }

        private void attempt(Seat owner, long tableVersion, boolean fallback) {
            if (owner.isHeldBy(self.daemon(), self.incarnation())) {
                Optional<WorkRunner> runner = groups.runner(work);
                if (runner.isEmpty()) {
                    tryNextOwner();
                } else {
                    runner.get().run(work).thenAccept(outcome -> onOutcome(owner, outcome));
                }
                return;
            }
            attempts++;
            int attempt = attempts;
            Duration now = clock.now();
            RelayRequest request = RelayCodec.encodeRequest(work, now, tableVersion, fallback);
            scheduleCheck(() -> checkOwner(owner, attempt, request, true));
            peers.execute(owner.address(), request, work.deadline().minus(now))
                    .thenAccept(reply -> completeAttempt(owner, attempt, reply));
        }

        /**
         * Checks whether an owner that hasn't responded is reachable. If it is, the connection of the request may still
         * be dead, so a retryable request is sent once more on a new connection; the owner recognizes the duplicate by
         * its request id. If it isn't, a retryable request ends this attempt without a response.
         */
        private void checkOwner(Seat owner, int attempt, RelayRequest request, boolean mayResend) {
            if (!isCurrent(attempt)) {
                return;
            }
            health.check(owner.address()).thenAccept(reachable -> {
                if (!isCurrent(attempt)) {
                    return;
                }
                if (!reachable && work.isRetryable()) {
                    completeAttempt(owner, attempt, Either.left(PeerFailure.NO_ANSWER));
                    return;
                }
                if (reachable && mayResend && work.isRetryable()) {
                    peers.execute(owner.address(), request, work.deadline().minus(clock.now()))
                            .thenAccept(reply -> reply.forEach(response -> completeAttempt(owner, attempt, reply)));
                }
                scheduleCheck(() -> checkOwner(owner, attempt, request, mayResend && !reachable));
            });
        }

        private synchronized void scheduleCheck(Runnable check) {
            if (!result.isDone()) {
                nextCheck = timer.schedule(check, checkAfter.toMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private synchronized boolean isCurrent(int attempt) {
            return attempt == attempts && !result.isDone();
        }

        private synchronized void completeAttempt(Seat owner, int attempt, Either<PeerFailure, RelayResponse> reply) {
            if (!isCurrent(attempt)) {
                return;
            }
            attempts++;
            nextCheck.cancel(false);
            if (reply.isRight()) {
                health.answered(owner.address());
                onOutcome(owner, RelayCodec.decodeOutcome(reply.get()));
            } else {
                onCallFailed(owner, reply.getLeft());
            }
        }

        private void onOutcome(Seat owner, Either<WorkFailure, WorkResponse> outcome) {
            if (outcome.isRight()) {
                result.complete(Either.right(new RelayedResponse(outcome.get(), owner)));
                return;
            }
            ErrorKind kind = outcome.getLeft().failure().kind();
            if (TRY_NEXT_OWNER.contains(kind)) {
                lastRejection = Optional.of(outcome.getLeft().failure());
                tryNextOwner();
            } else if (mayHaveRun && kind.execution() == Execution.NOT_RUN) {
                fail(outcome.getLeft().failure());
            } else {
                result.complete(Either.left(outcome.getLeft()));
            }
        }

        private void onCallFailed(Seat owner, PeerFailure failure) {
            LOG.debugf(
                    "[relay] Call to owner %s failed with %s for request %s.",
                    owner.daemon(), failure, work.requestId());
            if (failure == PeerFailure.TOO_MANY_CALLS) {
                fail(Failure.of(ErrorKind.QUEUE_FULL, "Too many requests wait for answers of the owner."));
                return;
            }
            boolean deadlineReached = failure == PeerFailure.NO_ANSWER
                    && clock.now().plus(DEADLINE_TOLERANCE).compareTo(work.deadline()) >= 0;
            if (deadlineReached) {
                // The request may just have waited at a busy owner; only a check shows whether the owner is reachable.
                health.check(owner.address());
            } else {
                health.unreachable(owner.address());
            }
            if (failure == PeerFailure.NOT_SENT) {
                tryNextOwner();
            } else if (work.step() == TransactionStep.BEGIN) {
                // The client never learns the transaction id, so the owner's idle timeout rolls the transaction back.
                fail(Failure.of(ErrorKind.TRANSACTION_ABORTED, "The owner gave no answer; the transaction ends."));
            } else if (!work.isRetryable()) {
                fail(Failure.of(ErrorKind.OUTCOME_UNKNOWN, "The owner gave no answer."));
            } else {
                mayHaveRun |= work.write();
                if (deadlineReached) {
                    fail(Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before the owner answered."));
                } else if (tryAcquireRetry()) {
                    tryNextOwner();
                } else {
                    fail(Failure.of(
                            ErrorKind.RETRY_BUDGET_EXHAUSTED,
                            "The owner gave no answer, and too many requests are retried."));
                }
            }
        }

        /** Fails the request. A "not run" failure becomes an unknown outcome if an earlier attempt may have run. */
        private void fail(Failure failure) {
            boolean outcomeUnknown = mayHaveRun && failure.kind().execution() == Execution.NOT_RUN;
            result.complete(Either.left(WorkFailure.of(
                    outcomeUnknown
                            ? Failure.of(
                                    ErrorKind.OUTCOME_UNKNOWN,
                                    "An attempt got no answer; a later one ended with: " + failure.detail())
                            : failure)));
        }
    }
}
