package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.adapters.platform.Lease;
import org.lavenderwick.core.audit.AuditEntry;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.PromotionAction;
import org.lavenderwick.core.promotion.PromotionCoordinator;
import org.lavenderwick.core.promotion.PromotionOutcome;
import org.lavenderwick.core.promotion.PromotionRequest;
import org.lavenderwick.core.promotion.PromotionTimings;
import org.lavenderwick.daemon.group.GroupExecutor;
import org.lavenderwick.daemon.group.GroupRecords;

/** Performs the actions of one coordinator and feeds it the answers. Confined to the control thread. */
final class PromotionRun {
    private static final Logger LOG = Logger.getLogger(PromotionRun.class);
    /** Time in which an audit entry is tried again; an outage of the platform may take hours. */
    private static final Duration AUDIT_TIME = Duration.ofHours(6);

    private static final PromotionTimings TIMINGS = PromotionTimings.DEFAULT;

    private final ControlContext context;
    private final GroupName group;
    private final GroupExecutor executor;
    private final String holder;
    private final PromotionCoordinator coordinator;
    private final Consumer<Optional<GroupRecord>> onFinished;
    private Optional<Lease> lease = Optional.empty();
    private Future<?> wake;
    private boolean stopped;
    private boolean planned;

    PromotionRun(
            ControlContext context,
            GroupName group,
            List<EndpointName> endpoints,
            GroupExecutor executor,
            Consumer<Optional<GroupRecord>> onFinished) {
        this.context = context;
        this.group = group;
        this.executor = executor;
        this.onFinished = onFinished;
        this.holder = context.self().daemon() + "-" + context.self().incarnation() + "-"
                + Long.toHexString(context.random().nextLong());
        this.coordinator = PromotionCoordinator.create(holder, endpoints, TIMINGS, context.random());
    }

    void start(PromotionRequest request) {
        planned = request.planned();
        perform(coordinator.start(request, now()));
    }

    void withdraw() {
        perform(coordinator.withdraw(now()));
    }

    /** Stops at once; another coordinator takes up what is half done. */
    void stop() {
        stopped = true;
        if (wake != null) {
            wake.cancel(false);
        }
    }

    private Duration now() {
        return context.control().now();
    }

    private void perform(List<PromotionAction> actions) {
        for (PromotionAction action : actions) {
            if (stopped) {
                return;
            }
            if (action instanceof PromotionAction.PlatformCall call) {
                perform(call);
            } else if (action instanceof PromotionAction.EndpointCall call) {
                perform(call);
            } else if (action instanceof PromotionAction.WakeAt at) {
                if (wake != null) {
                    wake.cancel(false);
                }
                wake = context.control().scheduleAt(at.at(), () -> perform(coordinator.tick(now())));
            } else if (action instanceof PromotionAction.Finished finished) {
                finish(finished);
            }
        }
    }

    private void perform(PromotionAction.PlatformCall action) {
        if (action instanceof PromotionAction.AcquireLease acquire) {
            String name = "coordinators/" + group;
            context.control()
                    .deliver(
                            context.platform().acquireLease(name, acquire.holder(), acquire.ttl()),
                            answer -> leaseAnswered(acquire.call(), answer));
        } else if (action instanceof PromotionAction.RenewLease renew) {
            lease.filter(held -> held.fencingToken() == renew.fencingToken())
                    .ifPresent(held -> context.control()
                            .deliver(
                                    context.platform().renewLease(held),
                                    answer -> leaseAnswered(renew.call(), answer)));
        } else if (action instanceof PromotionAction.ReleaseLease release) {
            lease.filter(held -> held.fencingToken() == release.fencingToken())
                    .ifPresent(context.platform()::releaseLease);
        } else if (action instanceof PromotionAction.ReadRecord read) {
            Duration askedAt = now();
            context.control().deliver(context.records().read(group), answer -> recordRead(read, askedAt, answer));
        } else if (action instanceof PromotionAction.WriteRecord write) {
            context.control()
                    .deliver(
                            context.records().write(group, write.record(), write.expectedRevision()),
                            answer -> recordWritten(write, answer));
        }
    }

    private void leaseAnswered(long call, Either<Failure, Lease> answer) {
        if (answer.isRight()) {
            lease = Optional.of(answer.get());
            perform(coordinator.onLeaseGranted(call, answer.get().fencingToken(), now()));
        } else if (answer.getLeft().kind() == ErrorKind.VERSION_CONFLICT) {
            perform(coordinator.onLeaseRefused(call, now()));
        } else {
            perform(coordinator.onPlatformCallFailed(call, now()));
        }
    }

    private void recordRead(
            PromotionAction.ReadRecord read,
            Duration askedAt,
            Either<Failure, Optional<GroupRecords.Versioned>> answer) {
        if (answer.isLeft()) {
            perform(coordinator.onPlatformCallFailed(read.call(), now()));
            return;
        }
        answer.get().ifPresent(known -> executor.onRecordRead(known.record(), askedAt));
        perform(coordinator.onRecordRead(
                read.call(),
                answer.get().map(GroupRecords.Versioned::record),
                answer.get().map(GroupRecords.Versioned::revision).orElse(0L),
                now()));
    }

    private void recordWritten(PromotionAction.WriteRecord write, Either<Failure, Long> answer) {
        if (answer.isRight()) {
            LOG.infof(
                    "[promotion] %s: term %s is %s with %s.",
                    group,
                    write.record().term(),
                    write.record().state(),
                    write.record().primary());
            perform(coordinator.onWriteAccepted(write.call(), answer.get(), now()));
        } else if (answer.getLeft().kind() == ErrorKind.VERSION_CONFLICT) {
            perform(coordinator.onWriteConflicted(write.call(), now()));
        } else {
            perform(coordinator.onPlatformCallFailed(write.call(), now()));
        }
    }

    private void perform(PromotionAction.EndpointCall action) {
        Duration timeout = TIMINGS.endpointTimeout();
        if (action instanceof PromotionAction.Seal seal) {
            call(seal, connection -> connection.seal(seal.term(), timeout));
        } else if (action instanceof PromotionAction.Promote promote) {
            call(promote, connection -> connection.promote(promote.term(), promote.startPosition(), timeout));
        }
    }

    private void call(
            PromotionAction.EndpointCall action,
            Function<EndpointConnection, CompletableFuture<Either<Failure, EndpointStatus>>> call) {
        context.control().deliver(executor.control(action.endpoint(), call), answer -> {
            if (answer.isRight()) {
                perform(coordinator.onEndpointResponse(action, PromotionDriver.report(answer.get()), now()));
            }
        });
    }

    private void audit(PromotionAction.Finished finished) {
        AuditEntry entry = new AuditEntry(
                context.self().daemon().value(),
                context.wallClock().instant(),
                (planned ? "planned promotion " : "promotion ") + group,
                finished.before().map(PromotionRun::describe).orElse(""),
                finished.after().map(PromotionRun::describe).orElse(""));
        context.control().deliver(context.audit().append(entry, AUDIT_TIME), answer -> {
            if (answer.isLeft()) {
                LOG.errorf(
                        "[audit] %s: a promotion may have no audit entry: %s",
                        group, answer.getLeft().detail());
            }
        });
    }

    private static String describe(GroupRecord record) {
        return "term " + record.term() + " with " + record.primary();
    }

    private void finish(PromotionAction.Finished finished) {
        LOG.infof("[promotion] %s: the coordinator ended with %s.", group, finished.outcome());
        stop();
        finished.after().ifPresent(executor::onRecordOfUnknownAge);
        boolean changed =
                finished.outcome() == PromotionOutcome.OPENED || finished.outcome() == PromotionOutcome.REOPENED;
        if (changed) {
            audit(finished);
        }
        onFinished.accept(finished.after());
    }
}
