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

/**
 * One run of a promotion, which performs the actions of a {@link PromotionCoordinator} and passes the results back to
 * it. Confined to the control thread.
 */
final class PromotionRun {
    private static final Logger LOG = Logger.getLogger(PromotionRun.class);
    /** Time during which a failed audit entry is retried. An outage of the platform may last for hours. */
    private static final Duration AUDIT_RETRY_TIME = Duration.ofHours(6);

    private static final PromotionTimings TIMINGS = PromotionTimings.DEFAULT;

    private final ControlContext context;
    private final GroupName group;
    private final GroupExecutor executor;
    private final String holder;
    private final PromotionCoordinator coordinator;
    private final Consumer<Optional<GroupRecord>> onFinished;
    private Optional<Lease> lease = Optional.empty();
    private Future<?> scheduledTick;
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

    /** Stops at once. Another coordinator resumes a promotion that is left unfinished. */
    void stop() {
        stopped = true;
        if (scheduledTick != null) {
            scheduledTick.cancel(false);
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
                if (scheduledTick != null) {
                    scheduledTick.cancel(false);
                }
                scheduledTick = context.control().scheduleAt(at.at(), () -> perform(coordinator.tick(now())));
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
                            result -> onLeaseResult(acquire.call(), result));
        } else if (action instanceof PromotionAction.RenewLease renew) {
            lease.filter(held -> held.fencingToken() == renew.fencingToken())
                    .ifPresent(held -> context.control()
                            .deliver(
                                    context.platform().renewLease(held),
                                    result -> onLeaseResult(renew.call(), result)));
        } else if (action instanceof PromotionAction.ReleaseLease release) {
            lease.filter(held -> held.fencingToken() == release.fencingToken())
                    .ifPresent(context.platform()::releaseLease);
        } else if (action instanceof PromotionAction.ReadRecord read) {
            Duration sentAt = now();
            context.control().deliver(context.records().read(group), result -> onRecordRead(read, sentAt, result));
        } else if (action instanceof PromotionAction.WriteRecord write) {
            context.control()
                    .deliver(
                            context.records().write(group, write.record(), write.expectedRevision()),
                            result -> onRecordWritten(write, result));
        }
    }

    private void onLeaseResult(long call, Either<Failure, Lease> result) {
        if (result.isRight()) {
            lease = Optional.of(result.get());
            perform(coordinator.onLeaseGranted(call, result.get().fencingToken(), now()));
        } else if (result.getLeft().kind() == ErrorKind.VERSION_CONFLICT) {
            perform(coordinator.onLeaseRefused(call, now()));
        } else {
            perform(coordinator.onPlatformCallFailed(call, now()));
        }
    }

    private void onRecordRead(
            PromotionAction.ReadRecord read,
            Duration sentAt,
            Either<Failure, Optional<GroupRecords.Versioned>> result) {
        if (result.isLeft()) {
            perform(coordinator.onPlatformCallFailed(read.call(), now()));
            return;
        }
        result.get().ifPresent(known -> executor.onRecordRead(known.record(), sentAt));
        perform(coordinator.onRecordRead(
                read.call(),
                result.get().map(GroupRecords.Versioned::record),
                result.get().map(GroupRecords.Versioned::revision).orElse(0L),
                now()));
    }

    private void onRecordWritten(PromotionAction.WriteRecord write, Either<Failure, Long> result) {
        if (result.isRight()) {
            LOG.infof(
                    "[promotion] %s: wrote the group record: term %s is %s with primary %s.",
                    group,
                    write.record().term(),
                    write.record().state(),
                    write.record().primary());
            perform(coordinator.onWriteAccepted(write.call(), result.get(), now()));
        } else if (result.getLeft().kind() == ErrorKind.VERSION_CONFLICT) {
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
        context.control().deliver(executor.control(action.endpoint(), call), result -> {
            if (result.isRight()) {
                perform(coordinator.onEndpointResponse(action, PromotionDriver.toReport(result.get()), now()));
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
        context.control().deliver(context.audit().append(entry, AUDIT_RETRY_TIME), result -> {
            if (result.isLeft()) {
                LOG.errorf(
                        "[audit] %s: failed to append the audit entry of a promotion, which may be missing: %s",
                        group, result.getLeft().detail());
            }
        });
    }

    private static String describe(GroupRecord record) {
        return "term " + record.term() + " with " + record.primary();
    }

    private void finish(PromotionAction.Finished finished) {
        LOG.infof("[promotion] %s: the promotion ended with outcome %s.", group, finished.outcome());
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
