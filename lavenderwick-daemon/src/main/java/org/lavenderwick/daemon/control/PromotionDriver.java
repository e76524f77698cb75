package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.promotion.EndpointReport;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.MonitorAction;
import org.lavenderwick.core.promotion.PrimaryMonitor;
import org.lavenderwick.core.promotion.PromotionRequest;
import org.lavenderwick.core.promotion.PromotionTimings;
import org.lavenderwick.daemon.group.GroupExecutor;
import org.lavenderwick.daemon.group.GroupPlacement;

/** Component that monitors the primary of an owned group and runs its promotions. Confined to the control thread. */
final class PromotionDriver {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Logger LOG = Logger.getLogger(PromotionDriver.class);

    private final ControlContext context;
    private GroupPlacement placement;
    private PrimaryMonitor monitor;
    private GroupExecutor executor;
    private Optional<GroupRecord> record = Optional.empty();
    private Optional<PromotionRun> running = Optional.empty();
    private boolean closed;

    PromotionDriver(ControlContext context, GroupPlacement placement) {
        this.context = context;
        this.placement = placement;
        this.monitor = newMonitor(placement);
    }

    void start(GroupExecutor groupExecutor) {
        executor = groupExecutor;
        tick();
    }

    void close() {
        closed = true;
        running.ifPresent(PromotionRun::stop);
    }

    void update(GroupPlacement changed) {
        boolean hasSameEndpoints = endpointNames(changed).equals(endpointNames(placement));
        placement = changed;
        if (!hasSameEndpoints) {
            monitor = newMonitor(changed);
            record.ifPresent(
                    known -> monitor.onRecordRead(known, context.control().now()));
        }
    }

    void onStatus(EndpointStatus status) {
        if (!closed) {
            perform(monitor.onEndpointResponse(
                    toReport(status), context.control().now()));
        }
    }

    void onRecordRead(GroupRecord seen) {
        boolean isNewer =
                record.map(known -> seen.term().compareTo(known.term()) >= 0).orElse(true);
        if (isNewer) {
            record = Optional.of(seen);
        }
        monitor.onRecordRead(seen, context.control().now());
    }

    /**
     * Starts a planned switchover.
     *
     * @param target the endpoint to promote; empty to let the coordinator select one
     * @return a message for the operator, or a failure if the target is unknown or a promotion is already running
     */
    Either<Failure, String> switchOver(Optional<EndpointName> target) {
        Optional<EndpointName> unknown =
                target.filter(name -> placement.group().endpoint(name).isEmpty());
        if (unknown.isPresent()) {
            return Either.left(
                    Failure.of(ErrorKind.MALFORMED_REQUEST, "The group has no endpoint " + unknown.get() + "."));
        }
        if (running.isPresent()) {
            return Either.left(Failure.of(ErrorKind.VERSION_CONFLICT, "A promotion of the group is under way."));
        }
        startRun(new PromotionRequest.Switchover(target));
        return Either.right("The change of primary of " + placement.group().name() + " has started.");
    }

    /** Returns the status as a report for the monitor or a coordinator. */
    static EndpointReport toReport(EndpointStatus status) {
        return new EndpointReport(
                status.endpoint(),
                status.primary(),
                status.term(),
                status.promisedTerm(),
                status.point(),
                status.pointTime(),
                status.openTransactions());
    }

    private void tick() {
        if (!closed) {
            context.control().scheduleAt(context.control().now().plus(TICK_INTERVAL), this::tick);
            perform(monitor.tick(context.control().now()));
            switchOverFromStoppingPrimary();
        }
    }

    /** Starts a switchover if a planned stop covers the primary. Only the lead owner, at position 0, does so. */
    private void switchOverFromStoppingPrimary() {
        Instant now = context.wallClock().instant();
        boolean isStopping = record.filter(known -> known.state() == GroupState.OPEN)
                .filter(known -> placement.isLeaving(known.primary(), now))
                .isPresent();
        if (isStopping && placement.position() == 0 && running.isEmpty()) {
            startRun(new PromotionRequest.Switchover(Optional.empty()));
        }
    }

    private void perform(List<MonitorAction> actions) {
        for (MonitorAction action : actions) {
            if (action instanceof MonitorAction.Probe probe) {
                executor.control(
                        probe.endpoint(), connection -> connection.status(PromotionTimings.DEFAULT.probeInterval()));
            } else if (action instanceof MonitorAction.StartPromotion start) {
                if (running.isEmpty()) {
                    LOG.warnf(
                            "[promotion] %s: the primary of term %s does not respond; starting a promotion.",
                            placement.group().name(), start.term());
                    startRun(new PromotionRequest.Unplanned(start.term()));
                }
            } else if (action instanceof MonitorAction.WithdrawPromotion) {
                running.ifPresent(PromotionRun::withdraw);
            } else if (action instanceof MonitorAction.ResumePromotion && running.isEmpty()) {
                startRun(new PromotionRequest.Resume());
            }
        }
    }

    private void startRun(PromotionRequest request) {
        PromotionRun run =
                new PromotionRun(context, placement.group().name(), endpointNames(placement), executor, finished -> {
                    running = Optional.empty();
                    finished.ifPresent(this::onRecordRead);
                });
        running = Optional.of(run);
        run.start(request);
    }

    private static PrimaryMonitor newMonitor(GroupPlacement placement) {
        return PrimaryMonitor.create(endpointNames(placement), PromotionTimings.DEFAULT);
    }

    private static List<EndpointName> endpointNames(GroupPlacement placement) {
        return placement.group().endpoints().stream()
                .map(EndpointSettings::name)
                .toList();
    }
}
