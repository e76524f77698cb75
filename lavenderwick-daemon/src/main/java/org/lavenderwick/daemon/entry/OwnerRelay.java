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
 * Sends work to the owners of its group, lead owner first. Thread-safe.
 *
 * <ul>
 *   <li>Work that was certainly not sent, or that an owner did not take, goes to the next owner.
 *   <li>Work without an answer is sent again, within the retry budget, only if a repeat is safe.
 *   <li>Other work without an answer has an unknown outcome.
 * </ul>
 */
public final class OwnerRelay {
    /** Pause before the owners are tried once more, so that a handover of a seat can finish. */
    private static final Duration ROUND_PAUSE = Duration.ofMillis(150);

    /** Answers of an owner that did not run the work, while another owner may be able to. */
    private static final Set<ErrorKind> NOT_TAKEN = Set.of(
            ErrorKind.OWNER_UNREACHABLE, ErrorKind.DRAINING, ErrorKind.NOT_CONFIGURED, ErrorKind.TERM_UNCONFIRMED);

    /** Timeouts of calls are in whole milliseconds and may end a little before the deadline. */
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(10);

    private static final int ROUNDS = 3;
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
     * @param self this daemon
     * @param seats the seat table in force
     * @param groups the groups that this daemon owns
     * @param peers calls other daemons
     * @param health knows which daemons answer
     * @param checkAfter time after which an owner that owes an answer is checked
     * @param clock monotonic time
     * @param timer runs pauses
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

    /** Runs work at an owner of its group. The future always completes, never exceptionally. */
    public CompletableFuture<Either<WorkFailure, Relayed>> run(WorkRequest work, OwnerChoice choice) {
        synchronized (retries) {
            retries.recordRequest();
        }
        Run run = new Run(work, choice);
        run.next();
        return run.result;
    }

    private boolean tryRetry() {
        synchronized (retries) {
            return retries.tryAcquireRetry();
        }
    }

    /** The attempts of one piece of work. Only one of them is under way at a time. */
    private final class Run {
        private final WorkRequest work;
        private final OwnerChoice choice;
        private final CompletableFuture<Either<WorkFailure, Relayed>> result = new CompletableFuture<>();
        private final Set<String> tried = new HashSet<>();
        private Optional<Failure> refusal = Optional.empty();
        private boolean mayHaveRun;
        private int round = 1;
        private int attempts;
        private Future<?> nextCheck;

        Run(WorkRequest work, OwnerChoice choice) {
            this.work = work;
            this.choice = choice;
        }

        synchronized void next() {
            Duration now = clock.now();
            if (now.compareTo(work.deadline()) >= 0) {
                fail(refusal.orElse(Failure.of(
                        ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before an owner took the work.")));
                return;
            }
            Owners owners = seats.owners();
            List<Seat> candidates = choice.owners(owners);
            Optional<Seat> owner = candidates.stream()
                    .filter(seat -> !tried.contains(seat.address()))
                    .min((first, second) ->
                            Boolean.compare(health.suspected(first.address()), health.suspected(second.address())));
            if (owner.isPresent()) {
                tried.add(owner.get().address());
                boolean fallback = !owner.get().equals(candidates.get(0));
                attempt(owner.get(), owners.table().version(), fallback);
            } else if (candidates.isEmpty() && choice.fixed()) {
                fail(Failure.of(
                        ErrorKind.UNKNOWN_TRANSACTION,
                        "The daemon that ran the transaction has ended; it rolled back."));
            } else if (round < ROUNDS) {
                round++;
                tried.clear();
                timer.schedule(this::next, ROUND_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
            } else {
                fail(refusal.filter(last -> last.kind() == ErrorKind.TERM_UNCONFIRMED)
                        .orElse(Failure.of(
                                ErrorKind.OWNER_UNREACHABLE, "No owner of the database group can be reached.")));
            }
        }

        private void attempt(Seat owner, long tableVersion, boolean fallback) {
            if (owner.isHeldBy(self.daemon(), self.incarnation())) {
                Optional<WorkRunner> runner = groups.runner(work);
                if (runner.isEmpty()) {
                    next();
                } else {
                    runner.get().run(work).thenAccept(outcome -> answered(owner, outcome));
                }
                return;
            }
            attempts++;
            int attempt = attempts;
            Duration now = clock.now();
            RelayRequest request = RelayCodec.request(work, now, tableVersion, fallback);
            planCheck(() -> check(owner, attempt, request, true));
            peers.execute(owner.address(), request, work.deadline().minus(now))
                    .thenAccept(answer -> settle(owner, attempt, answer));
        }

        /**
         * Checks an owner that owes an answer. If it answers, its connection may still have gone silent, so repeatable
         * work is sent once more on a new one; the owner knows by the request id that it is the same work.
         */
        private void check(Seat owner, int attempt, RelayRequest request, boolean first) {
            if (!current(attempt)) {
                return;
            }
            health.check(owner.address()).thenAccept(alive -> {
                if (!current(attempt)) {
                    return;
                }
                if (!alive && work.isRetryable()) {
                    settle(owner, attempt, Either.left(PeerFailure.NO_ANSWER));
                    return;
                }
                if (alive && first && work.isRetryable()) {
                    peers.execute(owner.address(), request, work.deadline().minus(clock.now()))
                            .thenAccept(answer -> answer.forEach(response -> settle(owner, attempt, answer)));
                }
                planCheck(() -> check(owner, attempt, request, first && !alive));
            });
        }

        private synchronized void planCheck(Runnable check) {
            if (!result.isDone()) {
                nextCheck = timer.schedule(check, checkAfter.toMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private synchronized boolean current(int attempt) {
            return attempt == attempts && !result.isDone();
        }

        private synchronized void settle(Seat owner, int attempt, Either<PeerFailure, RelayResponse> answer) {
            if (!current(attempt)) {
                return;
            }
            attempts++;
            nextCheck.cancel(false);
            if (answer.isRight()) {
                health.answered(owner.address());
                answered(owner, RelayCodec.outcome(answer.get()));
            } else {
                unanswered(owner, answer.getLeft());
            }
        }

        private void answered(Seat owner, Either<WorkFailure, WorkResponse> outcome) {
            if (outcome.isRight()) {
                result.complete(Either.right(new Relayed(outcome.get(), owner)));
                return;
            }
            ErrorKind kind = outcome.getLeft().failure().kind();
            if (NOT_TAKEN.contains(kind)) {
                refusal = Optional.of(outcome.getLeft().failure());
                next();
            } else if (mayHaveRun && kind.execution() == Execution.NOT_RUN) {
                fail(outcome.getLeft().failure());
            } else {
                result.complete(Either.left(outcome.getLeft()));
            }
        }

        private void unanswered(Seat owner, PeerFailure failure) {
            LOG.debugf("[relay] %s: %s for %s.", owner.daemon(), failure, work.requestId());
            if (failure == PeerFailure.TOO_MANY_CALLS) {
                fail(Failure.of(ErrorKind.QUEUE_FULL, "Too many requests wait for answers of the owner."));
                return;
            }
            boolean late = failure == PeerFailure.NO_ANSWER
                    && clock.now().plus(DEADLINE_SLACK).compareTo(work.deadline()) >= 0;
            if (late) {
                // The work may just have waited too long at a busy owner; only a check tells whether the owner answers.
                health.check(owner.address());
            } else {
                health.unreachable(owner.address());
            }
            if (failure == PeerFailure.NOT_SENT) {
                next();
            } else if (work.step() == TransactionStep.BEGIN) {
                // Nobody learns the id of the transaction, so its idle bound rolls it back.
                fail(Failure.of(ErrorKind.TRANSACTION_ABORTED, "The owner gave no answer; the transaction ends."));
            } else if (!work.isRetryable()) {
                fail(Failure.of(ErrorKind.OUTCOME_UNKNOWN, "The owner gave no answer."));
            } else {
                mayHaveRun |= work.write();
                if (late) {
                    fail(Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before the owner answered."));
                } else if (tryRetry()) {
                    next();
                } else {
                    fail(Failure.of(
                            ErrorKind.RETRY_BUDGET_EXHAUSTED,
                            "The owner gave no answer, and too many requests are retried."));
                }
            }
        }

        /** Ends the work; "not run" turns into an unknown outcome if an earlier attempt may have run. */
        private void fail(Failure failure) {
            boolean unknown = mayHaveRun && failure.kind().execution() == Execution.NOT_RUN;
            result.complete(Either.left(WorkFailure.of(
                    unknown
                            ? Failure.of(
                                    ErrorKind.OUTCOME_UNKNOWN,
                                    "An attempt got no answer; a later one ended with: " + failure.detail())
                            : failure)));
        }
    }
}
