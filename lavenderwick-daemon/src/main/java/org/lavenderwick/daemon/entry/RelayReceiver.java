package org.lavenderwick.daemon.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkRunner;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/**
 * The owner's side of the relay: runs the requests that entry daemons send. A duplicate of a request in flight is not
 * run again but receives the same response, so that an entry daemon can resend it on a new connection. Thread-safe.
 */
public final class RelayReceiver {
    private static final Logger LOG = Logger.getLogger(RelayReceiver.class);

    private final GroupDirectory groups;
    private final Drain drain;
    private final MonotonicClock clock;
    private final Executor responseExecutor;
    private final Map<String, CompletableFuture<RelayResponse>> inFlight = new ConcurrentHashMap<>();

    /**
     * Creates a receiver.
     *
     * @param groups the groups that this daemon owns
     * @param drain counts the requests in flight and rejects new ones while the daemon drains
     * @param clock monotonic clock
     * @param responseExecutor executor that encodes responses
     */
    public RelayReceiver(GroupDirectory groups, Drain drain, MonotonicClock clock, Executor responseExecutor) {
        this.groups = groups;
        this.drain = drain;
        this.clock = clock;
        this.responseExecutor = responseExecutor;
    }

    /** Runs a relayed request. The future always completes, never exceptionally. */
    public CompletableFuture<RelayResponse> execute(RelayRequest request) {
        CompletableFuture<RelayResponse> created = new CompletableFuture<>();
        CompletableFuture<RelayResponse> existing = inFlight.putIfAbsent(request.getRequestId(), created);
        if (existing != null) {
            return existing;
        }
        run(request)
                .exceptionally(error -> {
                    LOG.errorf(
                            error,
                            "[relay] Relayed request %s failed unexpectedly; responding with an internal error.",
                            request.getRequestId());
                    return RelayCodec.encodeFailure(
                            request.getRequestId(), Failure.of(ErrorKind.INTERNAL_ERROR, "The owner failed."));
                })
                .thenAccept(response -> {
                    inFlight.remove(request.getRequestId());
                    created.complete(response);
                });
        return created;
    }

    private CompletableFuture<RelayResponse> run(RelayRequest request) {
        String id = request.getRequestId();
        WorkRequest work;
        try {
            work = RelayCodec.decodeRequest(request, clock.now());
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(RelayCodec.encodeFailure(
                    id, Failure.of(ErrorKind.MALFORMED_REQUEST, "A relayed request is malformed: " + e.getMessage())));
        }
        Either<Failure, Integer> accepted =
                work.transactionId().isPresent() ? drain.acceptContinuation() : drain.accept();
        if (accepted.isLeft()) {
            return CompletableFuture.completedFuture(RelayCodec.encodeFailure(id, accepted.getLeft()));
        }
        Optional<WorkRunner> runner = groups.runner(work);
        if (runner.isEmpty()) {
            drain.finished();
            return CompletableFuture.completedFuture(RelayCodec.encodeFailure(
                    id, Failure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the database group.")));
        }
        return runner.get()
                .run(work)
                .thenApplyAsync(outcome -> RelayCodec.encodeOutcome(id, outcome), responseExecutor)
                .whenComplete((response, error) -> drain.finished());
    }
}
