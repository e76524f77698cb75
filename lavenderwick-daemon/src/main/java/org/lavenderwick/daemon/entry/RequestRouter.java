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
 * The entry point of client requests: validates them against the configuration, decodes and encodes session tokens, and
 * relays the requests to an owner of their database group. Thread-safe.
 */
public final class RequestRouter implements RequestHandler {
    /** Time after the deadline at which a request without an outcome fails with an internal error. */
    private static final Duration LOST_REQUEST_GRACE = Duration.ofSeconds(5);

    private static final Either<WorkFailure, RelayedResponse> LOST_REQUEST =
            Either.left(WorkFailure.of(ErrorKind.INTERNAL_ERROR, "The proxy has no outcome long after the deadline."));

    private final ConfigurationHolder configuration;
    private final SessionTokenCodecCache codecs;
    private final OwnerRelay relay;
    private final Drain drain;
    private final RequestMetrics metrics;
    private final MonotonicClock clock;
    private final Executor responseExecutor;

    /**
     * Creates a router.
     *
     * @param configuration holder of the configuration in force
     * @param codecs provides the codec for session tokens
     * @param relay sends requests to owners
     * @param drain counts the requests in flight and rejects new ones while the daemon drains
     * @param metrics records outcome and latency of requests
     * @param clock monotonic clock
     * @param responseExecutor executor that prepares responses
     */
    public RequestRouter(
            ConfigurationHolder configuration,
            SessionTokenCodecCache codecs,
            OwnerRelay relay,
            Drain drain,
            RequestMetrics metrics,
            MonotonicClock clock,
            Executor responseExecutor) {
        this.configuration = configuration;
        this.codecs = codecs;
        this.relay = relay;
        this.drain = drain;
        this.metrics = metrics;
        this.clock = clock;
        this.responseExecutor = responseExecutor;
    }

    /** A valid request with the selector of the daemons that may run it and the session token it came with. */
    private record ValidatedRequest(WorkRequest work, OwnerSelector selector, Optional<SessionToken> session) {}

    @Override
    public CompletableFuture<Either<CallerRefusal, CallerAnswer>> handle(CallerRequest request) {
        Duration arrival = clock.now();
        boolean inTransaction = request instanceof CallerRequest.Step;
        Either<Failure, Integer> accepted = inTransaction ? drain.acceptContinuation() : drain.accept();
        if (accepted.isLeft()) {
            metrics.answered("", accepted.getLeft().kind().name(), Duration.ZERO);
            return CompletableFuture.completedFuture(Either.left(CallerRefusal.of(accepted.getLeft())));
        }
        Either<Failure, SessionTokenCodec> codec = configuration.require().flatMap(codecs::codec);
        Either<Failure, ValidatedRequest> validated = codec.flatMap(
                usable -> validate(request, configuration.require().get(), usable, arrival));
        String rank = validated.fold(
                failure -> "", valid -> valid.work.rank().map(Object::toString).orElse(""));
        CompletableFuture<Either<CallerRefusal, CallerAnswer>> response = validated.isLeft()
                ? CompletableFuture.completedFuture(Either.left(CallerRefusal.of(validated.getLeft())))
                : run(validated.get(), codec.get());
        return response.whenComplete((outcome, error) -> {
            drain.finished();
            String kind = error != null
                    ? ErrorKind.INTERNAL_ERROR.name()
                    : outcome.fold(rejection -> rejection.failure().kind().name(), ignored -> "DONE");
            metrics.answered(rank, kind, clock.now().minus(arrival));
        });
    }

    private CompletableFuture<Either<CallerRefusal, CallerAnswer>> run(
            ValidatedRequest validated, SessionTokenCodec codec) {
        Duration timeout = validated.work.deadline().minus(clock.now()).plus(LOST_REQUEST_GRACE);
        return relay.run(validated.work, validated.selector)
                .completeOnTimeout(LOST_REQUEST, Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS)
                .thenApplyAsync(
                        outcome -> outcome.bimap(
                                failure -> toRejection(validated, failure, codec),
                                relayed -> toResponse(validated, relayed, codec)),
                        responseExecutor);
    }

    private Either<Failure, ValidatedRequest> validate(
            CallerRequest request, Configuration current, SessionTokenCodec codec, Duration arrival) {
        Either<Failure, Optional<SessionToken>> session = request.session().isEmpty()
                ? Either.right(Optional.empty())
                : codec.decodeToken(request.session().get()).map(Optional::of);
        if (session.isLeft()) {
            return Either.left(session.getLeft());
        }
        Duration deadline = arrival.plus(request.deadline());
        if (request instanceof CallerRequest.Single single) {
            return findGroup(current, single.service(), single.group(), single.rank())
                    .flatMap(group -> validateSingle(current, group, single, deadline, session.get()));
        }
        if (request instanceof CallerRequest.Begin begin) {
            return findGroup(current, begin.service(), begin.group(), begin.rank())
                    .flatMap(group -> validateBegin(group, begin, deadline, session.get()));
        }
        CallerRequest.Step step = (CallerRequest.Step) request;
        return codec.decodeHandle(step.handle())
                .flatMap(handle -> validateStep(current, handle, step, deadline, session.get()));
    }

    private static Either<Failure, GroupSettings> findGroup(
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

    private static Either<Failure, ValidatedRequest> validateSingle(
            Configuration current,
            GroupSettings group,
            CallerRequest.Single request,
            Duration deadline,
            Optional<SessionToken> session) {
        if (request.write() && !session.orElse(SessionToken.empty()).hasRoomFor(group.name())) {
            return Either.left(sessionFull());
        }
        Duration defaultMaxStaleness = current.services().get(group.service()).defaultMaxStaleness();
        Optional<Duration> maxStaleness = request.maxStaleness()
                .or(() -> defaultMaxStaleness.isZero() ? Optional.empty() : Optional.of(defaultMaxStaleness));
        WorkRequest work = new WorkRequest(
                newRequestId(),
                group.service(),
                group.name(),
                Optional.of(request.rank()),
                TransactionStep.SINGLE,
                request.write(),
                request.statements(),
                deadline,
                request.write() ? Optional.empty() : maxStaleness,
                request.idempotencyKey(),
                minimumPoint(session, group.name()),
                Optional.empty());
        return Either.right(new ValidatedRequest(work, OwnerSelector.forGroup(group), session));
    }

    private static Either<Failure, ValidatedRequest> validateBegin(
            GroupSettings group, CallerRequest.Begin request, Duration deadline, Optional<SessionToken> session) {
        if (!session.orElse(SessionToken.empty()).hasRoomFor(group.name())
                || !TransactionIds.fitsHandle(group.name())) {
            return Either.left(sessionFull());
        }
        WorkRequest work = new WorkRequest(
                newRequestId(),
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
        return Either.right(new ValidatedRequest(work, OwnerSelector.forGroup(group), session));
    }

    private static Either<Failure, ValidatedRequest> validateStep(
            Configuration current,
            TransactionHandle handle,
            CallerRequest.Step request,
            Duration deadline,
            Optional<SessionToken> session) {
        Optional<GroupSettings> group = TransactionIds.groupOf(handle.transactionId())
                .flatMap(name -> Optional.ofNullable(current.groups().get(name)));
        if (group.isEmpty()) {
            return Either.left(
                    Failure.of(ErrorKind.UNKNOWN_TRANSACTION, "The database group of the transaction is gone."));
        }
        if (!session.orElse(SessionToken.empty()).hasRoomFor(group.get().name())) {
            return Either.left(sessionFull());
        }
        TransactionStep step =
                switch (request.action()) {
                    case CONTINUE -> TransactionStep.CONTINUE;
                    case COMMIT -> TransactionStep.COMMIT;
                    case ROLLBACK -> TransactionStep.ROLLBACK;
                };
        WorkRequest work = new WorkRequest(
                newRequestId(),
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
                Optional.of(TransactionIds.idOf(handle.transactionId())));
        return Either.right(new ValidatedRequest(work, OwnerSelector.forTransaction(handle), session));
    }

    /**
     * Returns the log point that the data must have reached. It is the start of the log for a session that hasn't
     * written to the group. It is empty without a session; a read that states no staleness must then see all
     * acknowledged writes.
     */
    private static Optional<LogPoint> minimumPoint(Optional<SessionToken> session, GroupName group) {
        return session.map(token -> token.point(group).orElse(LogPoint.START));
    }

    private static CallerAnswer toResponse(
            ValidatedRequest validated, RelayedResponse relayed, SessionTokenCodec codec) {
        WorkResponse response = relayed.response();
        Optional<SessionToken> token = response.wrote()
                ? Optional.of(
                        validated.session.orElse(SessionToken.empty()).with(validated.work.group(), response.point()))
                : validated.session;
        Optional<String> handle = response.transactionId()
                .map(id -> codec.encode(new TransactionHandle(
                        relayed.owner().daemon(),
                        relayed.owner().incarnation(),
                        TransactionIds.join(id, validated.work.group()))));
        return new CallerAnswer(
                response.results(),
                token.map(codec::encode),
                handle,
                Optional.of(response.endpoint().value()),
                response.servedByPrimary());
    }

    private static CallerRefusal toRejection(ValidatedRequest validated, WorkFailure failure, SessionTokenCodec codec) {
        Optional<String> newToken = failure.point()
                .filter(point -> failure.failure().kind() == ErrorKind.SESSION_WRITE_LOST)
                .map(point -> codec.encode(
                        validated.session.orElse(SessionToken.empty()).replace(validated.work.group(), point)));
        return new CallerRefusal(failure.failure(), newToken);
    }

    private static Failure sessionFull() {
        return Failure.of(
                ErrorKind.MALFORMED_REQUEST,
                "The session has written to " + SessionToken.MAX_GROUPS
                        + " database groups, or the name of the group is too long; start another session.");
    }

    private static String newRequestId() {
        return UUID.randomUUID().toString();
    }
}
