package org.lavenderwick.daemon.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.lavenderwick.adapters.caller.CallerAnswer;
import org.lavenderwick.adapters.caller.CallerRefusal;
import org.lavenderwick.adapters.caller.CallerRequest;
import org.lavenderwick.adapters.caller.RequestHandler;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.session.SessionToken;
import org.lavenderwick.core.session.SessionTokenCodec;
import org.lavenderwick.core.session.TransactionHandle;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.group.WorkFailure;
import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkResponse;

/**
 * Serves callers at the entry daemon: checks names against the configuration, opens and seals session tokens, and sends
 * the work to an owner. Thread-safe.
 */
public final class RequestRouter implements RequestHandler {
    /** Time past the deadline after which a request counts as lost inside the proxy. */
    private static final Duration GRACE = Duration.ofSeconds(5);

    private static final Either<WorkFailure, Relayed> NO_OUTCOME =
            Either.left(WorkFailure.of(ErrorKind.INTERNAL_ERROR, "The proxy has no outcome long after the deadline."));

    private final ConfigurationHolder configuration;
    private final Sessions sessions;
    private final OwnerRelay relay;
    private final Drain drain;
    private final RequestMetrics metrics;
    private final MonotonicClock clock;
    private final Executor answers;

    /**
     * Creates a router.
     *
     * @param configuration the configuration in force
     * @param sessions opens and seals tokens with the keys in force
     * @param relay sends work to owners
     * @param drain counts the requests in flight
     * @param metrics counts requests by outcome
     * @param clock monotonic time
     * @param answers threads on which answers are prepared
     */
    public RequestRouter(
            ConfigurationHolder configuration,
            Sessions sessions,
            OwnerRelay relay,
            Drain drain,
            RequestMetrics metrics,
            MonotonicClock clock,
            Executor answers) {
        this.configuration = configuration;
        this.sessions = sessions;
        this.relay = relay;
        this.drain = drain;
        this.metrics = metrics;
        this.clock = clock;
        this.answers = answers;
    }

    /** A checked request: the work, who may run it, and the session it belongs to. */
    private record Checked(WorkRequest work, OwnerChoice choice, Optional<SessionToken> session) {}

    @Override
    public CompletableFuture<Either<CallerRefusal, CallerAnswer>> handle(CallerRequest request) {
        Duration arrival = clock.now();
        boolean step = request instanceof CallerRequest.Step;
        Either<Failure, Integer> accepted = step ? drain.acceptContinuation() : drain.accept();
        if (accepted.isLeft()) {
            metrics.answered("", accepted.getLeft().kind().name(), Duration.ZERO);
            return CompletableFuture.completedFuture(Either.left(CallerRefusal.of(accepted.getLeft())));
        }
        Either<Failure, SessionTokenCodec> codec = configuration.require().flatMap(sessions::codec);
        Either<Failure, Checked> checked =
                codec.flatMap(known -> check(request, configuration.require().get(), known, arrival));
        String rank = checked.fold(
                failure -> "", known -> known.work.rank().map(Object::toString).orElse(""));
        CompletableFuture<Either<CallerRefusal, CallerAnswer>> answer = checked.isLeft()
                ? CompletableFuture.completedFuture(Either.left(CallerRefusal.of(checked.getLeft())))
                : run(checked.get(), codec.get());
        return answer.whenComplete((outcome, error) -> {
            drain.finished();
            String kind = error != null
                    ? ErrorKind.INTERNAL_ERROR.name()
                    : outcome.fold(refusal -> refusal.failure().kind().name(), ignored -> "DONE");
            metrics.answered(rank, kind, clock.now().minus(arrival));
        });
    }

    private CompletableFuture<Either<CallerRefusal, CallerAnswer>> run(Checked checked, SessionTokenCodec codec) {
        Duration bound = checked.work.deadline().minus(clock.now()).plus(GRACE);
        return relay.run(checked.work, checked.choice)
                .completeOnTimeout(NO_OUTCOME, Math.max(1, bound.toMillis()), TimeUnit.MILLISECONDS)
                .thenApplyAsync(
                        outcome -> outcome.bimap(
                                failure -> refusal(checked, failure, codec), answer -> answer(checked, answer, codec)),
                        answers);
    }

    private Either<Failure, Checked> check(
            CallerRequest request, Configuration current, SessionTokenCodec codec, Duration arrival) {
        Either<Failure, Optional<SessionToken>> session = request.session().isEmpty()
                ? Either.right(Optional.empty())
                : codec.decodeToken(request.session().get()).map(Optional::of);
        if (session.isLeft()) {
            return Either.left(session.getLeft());
        }
        Duration deadline = arrival.plus(request.deadline());
        if (request instanceof CallerRequest.Single single) {
            return names(current, single.service(), single.group(), single.rank())
                    .flatMap(group -> single(current, group, single, deadline, session.get()));
        }
        if (request instanceof CallerRequest.Begin begin) {
            return names(current, begin.service(), begin.group(), begin.rank())
                    .flatMap(group -> begin(group, begin, deadline, session.get()));
        }
        CallerRequest.Step step = (CallerRequest.Step) request;
        return codec.decodeHandle(step.handle())
                .flatMap(handle -> step(current, handle, step, deadline, session.get()));
    }

    private static Either<Failure, GroupSettings> names(
            Configuration current, ServiceName service, GroupName group, RankName rank) {
        ServiceSettings settings = current.services().get(service);
        if (settings == null) {
            return Either.left(Failure.of(ErrorKind.UNKNOWN_SERVICE, "There is no service " + service + "."));
        }
        GroupSettings known = current.groups().get(group);
        if (known == null || !known.service().equals(service)) {
            return Either.left(Failure.of(
                    ErrorKind.UNKNOWN_GROUP, "Service " + service + " has no database group " + group + "."));
        }
        if (settings.rank(rank).isEmpty()) {
            return Either.left(Failure.of(ErrorKind.UNKNOWN_RANK, "Service " + service + " has no rank " + rank + "."));
        }
        return Either.right(known);
    }

    private static Either<Failure, Checked> single(
            Configuration current,
            GroupSettings group,
            CallerRequest.Single request,
            Duration deadline,
            Optional<SessionToken> session) {
        if (request.write() && !session.orElse(SessionToken.empty()).hasRoomFor(group.name())) {
            return Either.left(noRoom());
        }
        Duration byDefault = current.services().get(group.service()).defaultMaxStaleness();
        Optional<Duration> accepted =
                request.maxStaleness().or(() -> byDefault.isZero() ? Optional.empty() : Optional.of(byDefault));
        WorkRequest work = new WorkRequest(
                newId(),
                group.service(),
                group.name(),
                Optional.of(request.rank()),
                TransactionStep.SINGLE,
                request.write(),
                request.statements(),
                deadline,
                request.write() ? Optional.empty() : accepted,
                request.idempotencyKey(),
                minimumPoint(session, group.name()),
                Optional.empty());
        return Either.right(new Checked(work, OwnerChoice.of(group), session));
    }

    private static Either<Failure, Checked> begin(
            GroupSettings group, CallerRequest.Begin request, Duration deadline, Optional<SessionToken> session) {
        if (!session.orElse(SessionToken.empty()).hasRoomFor(group.name()) || !TransactionIds.fits(group.name())) {
            return Either.left(noRoom());
        }
        WorkRequest work = new WorkRequest(
                newId(),
                group.service(),
                group.name(),
                Optional.of(request.rank()),
                TransactionStep.BEGIN,
                true,
                request.statements(),
                deadline,
                Optional.empty(),
                Optional.empty(),
                minimumPoint(session, group.name()),
                Optional.empty());
        return Either.right(new Checked(work, OwnerChoice.of(group), session));
    }

    private static Either<Failure, Checked> step(
            Configuration current,
            TransactionHandle handle,
            CallerRequest.Step request,
            Duration deadline,
            Optional<SessionToken> session) {
        Optional<GroupSettings> group = TransactionIds.group(handle.transactionId())
                .flatMap(name -> Optional.ofNullable(current.groups().get(name)));
        if (group.isEmpty()) {
            return Either.left(
                    Failure.of(ErrorKind.UNKNOWN_TRANSACTION, "The database group of the transaction is gone."));
        }
        if (!session.orElse(SessionToken.empty()).hasRoomFor(group.get().name())) {
            return Either.left(noRoom());
        }
        TransactionStep step =
                switch (request.action()) {
                    case CONTINUE -> TransactionStep.CONTINUE;
                    case COMMIT -> TransactionStep.COMMIT;
                    case ROLLBACK -> TransactionStep.ROLLBACK;
                };
        WorkRequest work = new WorkRequest(
                newId(),
                group.get().service(),
                group.get().name(),
                Optional.empty(),
                step,
                true,
                request.statements(),
                deadline,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(TransactionIds.id(handle.transactionId())));
        return Either.right(new Checked(work, OwnerChoice.of(handle), session));
    }

    /** A session that has not written to the group may read it at any point, unlike a read without a session. */
    private static Optional<LogPoint> minimumPoint(Optional<SessionToken> session, GroupName group) {
        return session.map(token -> token.point(group).orElse(LogPoint.START));
    }

    private static CallerAnswer answer(Checked checked, Relayed relayed, SessionTokenCodec codec) {
        WorkResponse answer = relayed.answer();
        Optional<SessionToken> token = answer.wrote()
                ? Optional.of(checked.session.orElse(SessionToken.empty()).with(checked.work.group(), answer.point()))
                : checked.session;
        Optional<String> handle = answer.transactionId()
                .map(id -> codec.encode(new TransactionHandle(
                        relayed.owner().daemon(),
                        relayed.owner().incarnation(),
                        TransactionIds.join(id, checked.work.group()))));
        return new CallerAnswer(
                answer.results(),
                token.map(codec::encode),
                handle,
                Optional.of(answer.endpoint().value()),
                answer.servedByPrimary());
    }

    private static CallerRefusal refusal(Checked checked, WorkFailure failure, SessionTokenCodec codec) {
        Optional<String> fresh = failure.point()
                .filter(point -> failure.failure().kind() == ErrorKind.SESSION_WRITE_LOST)
                .map(point -> codec.encode(
                        checked.session.orElse(SessionToken.empty()).replace(checked.work.group(), point)));
        return new CallerRefusal(failure.failure(), fresh);
    }

    private static Failure noRoom() {
        return Failure.of(
                ErrorKind.MALFORMED_REQUEST,
                "The session has written to " + SessionToken.MAX_GROUPS
                        + " database groups, or the name of the group is too long; start another session.");
    }

    private static String newId() {
        return UUID.randomUUID().toString();
    }
}
