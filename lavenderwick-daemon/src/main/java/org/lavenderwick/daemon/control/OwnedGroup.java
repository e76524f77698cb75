package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupEnvironment;
import org.lavenderwick.daemon.group.GroupExecutor;
import org.lavenderwick.daemon.group.GroupObserver;
import org.lavenderwick.daemon.group.GroupPlacement;

/**
 * A database group that this daemon owns. Its executor runs on a traffic event loop; its promotions and the
 * synchronization of its paid level run on the control thread.
 */
final class OwnedGroup {
    private final GroupExecutor executor;
    private final PromotionDriver promotion;
    private final PaidLevelDriver paidLevel;

    private OwnedGroup(GroupExecutor executor, PromotionDriver promotion, PaidLevelDriver paidLevel) {
        this.executor = executor;
        this.promotion = promotion;
        this.paidLevel = paidLevel;
    }

    /** Factory of owned groups. */
    @FunctionalInterface
    interface Factory {
        /** Returns a started group. Must be called on the control thread. */
        OwnedGroup start(GroupPlacement placement);
    }

    /** Returns a started group. Must be called on the control thread. */
    static OwnedGroup start(
            GroupEnvironment environment, EventLoop traffic, ControlContext context, GroupPlacement placement) {
        PromotionDriver promotion = new PromotionDriver(context, placement);
        GroupExecutor executor =
                GroupExecutor.start(environment, traffic, placement, new Observer(context.control(), promotion));
        promotion.start(executor);
        PaidLevelDriver paidLevel =
                new PaidLevelDriver(context, placement.group().name(), executor);
        paidLevel.start();
        return new OwnedGroup(executor, promotion, paidLevel);
    }

    GroupExecutor executor() {
        return executor;
    }

    PromotionDriver promotion() {
        return promotion;
    }

    void update(GroupPlacement placement) {
        executor.updatePlacement(placement);
        promotion.update(placement);
    }

    /**
     * Shuts the group down gracefully: rejects queued work, and lets work in flight and open transactions complete
     * within a time limit.
     *
     * @param reason the failure with which queued work is rejected
     * @return a future that completes when the executor has shut down
     */
    CompletableFuture<Boolean> shutdown(Failure reason) {
        promotion.close();
        paidLevel.close();
        return executor.shutdown(reason);
    }

    /** Shuts the group down at once: rejects queued work with the given reason and closes all connections. */
    void shutdownNow(Failure reason) {
        promotion.close();
        paidLevel.close();
        executor.shutdownNow(reason);
    }

    /** Observer that forwards events to the control thread and limits the rate of status reports of each endpoint. */
    private static final class Observer implements GroupObserver {
        /** Minimum time between reports of an endpoint; more are of no use to the monitor, which ticks every 100 ms. */
        private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(50);

        private final EventLoop control;
        private final PromotionDriver promotion;
        private final Map<EndpointName, Duration> lastReportTimes = new ConcurrentHashMap<>();

        Observer(EventLoop control, PromotionDriver promotion) {
            this.control = control;
            this.promotion = promotion;
        }

        @Override
        public void onStatus(EndpointStatus status) {
            Duration now = control.now();
            Duration last = lastReportTimes.get(status.endpoint());
            if (last == null || now.minus(last).compareTo(MIN_REPORT_INTERVAL) >= 0) {
                lastReportTimes.put(status.endpoint(), now);
                control.execute(() -> promotion.onStatus(status));
            }
        }

        @Override
        public void onRecordRead(GroupRecord record, Duration sentAt) {
            control.execute(() -> promotion.onRecordRead(record));
        }
    }
}
