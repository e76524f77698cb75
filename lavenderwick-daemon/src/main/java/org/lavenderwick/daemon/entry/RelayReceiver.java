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
 * Runs the work that entry daemons relay to this owner. A request that arrives again while its work is under way joins
 * it, so that an entry daemon may ask once more over a new connection. Thread-safe.
 */
public final class RelayReceiver {
    private static final Logger LOG = Logger.getLogger(RelayReceiver.class);

    private final GroupDirectory groups;
    private final Drain drain;
    private final MonotonicClock clock;
    private final Executor answers;
    private final Map<String, CompletableFuture<RelayResponse>> underWay = new ConcurrentHashMap<>();

    /**
     * Creates a receiver.
     *
     * @param groups the groups that this daemon owns
     * @param drain counts the work in flight
     * @param clock monotonic time
     * @param answers threads on which answers are prepared
     */
    public RelayReceiver(GroupDirectory groups, Drain drain, MonotonicClock clock, Executor answers) {
        this.groups = groups;
        this.drain = drain;
        this.clock = clock;
        this.answers = answers;
    }

    /** Runs a relayed request. The future always completes, never exceptionally. */
    public CompletableFuture<RelayResponse> execute(RelayRequest request) {
        CompletableFuture<RelayResponse> mine = new CompletableFuture<>();
        CompletableFuture<RelayResponse> earlier = underWay.putIfAbsent(request.getRequestId(), mine);
        if (earlier != null) {
            return earlier;
        }
        run(request)
                .exceptionally(error -> {
                    LOG.errorf(error, "[relay] A relayed request failed.");
                    return RelayCodec.refusal(
                            request.getRequestId(), Failure.of(ErrorKind.INTERNAL_ERROR, "The owner failed."));
                })
                .thenAccept(response -> {
                    underWay.remove(request.getRequestId());
                    mine.complete(response);
                });
        return mine;
    }

    private CompletableFuture<RelayResponse> run(RelayRequest request) {
        String id = request.getRequestId();
        WorkRequest work;
        try {
            work = RelayCodec.work(request, clock.now());
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(RelayCodec.refusal(
                    id, Failure.of(ErrorKind.MALFORMED_REQUEST, "A relayed request is malformed: " + e.getMessage())));
        }
        Either<Failure, Integer> accepted =
                work.transactionId().isPresent() ? drain.acceptContinuation() : drain.accept();
        if (accepted.isLeft()) {
            return CompletableFuture.completedFuture(RelayCodec.refusal(id, accepted.getLeft()));
        }
        Optional<WorkRunner> runner = groups.runner(work);
        if (runner.isEmpty()) {
            drain.finished();
            return CompletableFuture.completedFuture(RelayCodec.refusal(
                    id, Failure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the database group.")));
        }
        return runner.get()
                .run(work)
                .thenApplyAsync(outcome -> RelayCodec.response(id, outcome), answers)
                .whenComplete((response, error) -> drain.finished());
    }
}
