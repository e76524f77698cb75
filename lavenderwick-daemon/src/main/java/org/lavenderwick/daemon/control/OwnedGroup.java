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

/** One owned group: its executor on an event loop, and its promotions on the control thread. */
final class OwnedGroup {
    private final GroupExecutor executor;
    private final PromotionDriver promotion;
    private final PaidLevelDriver paidLevel;

    private OwnedGroup(GroupExecutor executor, PromotionDriver promotion, PaidLevelDriver paidLevel) {
        this.executor = executor;
        this.promotion = promotion;
        this.paidLevel = paidLevel;
    }

    /** Starts the parts of a group. */
    @FunctionalInterface
    interface Factory {
        /** Starts a group; called on the control thread. */
        OwnedGroup start(GroupPlacement placement);
    }

    /** Starts a group; called on the control thread. */
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

    /** Ends the group with grace; the future completes when nothing is left. */
    CompletableFuture<Boolean> retire(Failure reason) {
        promotion.close();
        paidLevel.close();
        return executor.shutdown(reason);
    }

    /** Ends the group at once. */
    void close(Failure reason) {
        promotion.close();
        paidLevel.close();
        executor.shutdownNow(reason);
    }

    /** Hands what the executor learns to the control thread, the answers of each endpoint at a bounded rate. */
    private static final class Observer implements GroupObserver {
        /** The monitor looks every 100 ms, so more answers tell it nothing. */
        private static final Duration INTERVAL = Duration.ofMillis(50);

        private final EventLoop control;
        private final PromotionDriver promotion;
        private final Map<EndpointName, Duration> reported = new ConcurrentHashMap<>();

        Observer(EventLoop control, PromotionDriver promotion) {
            this.control = control;
            this.promotion = promotion;
        }

        @Override
        public void onStatus(EndpointStatus status) {
            Duration now = control.now();
            Duration last = reported.get(status.endpoint());
            if (last == null || now.minus(last).compareTo(INTERVAL) >= 0) {
                reported.put(status.endpoint(), now);
                control.execute(() -> promotion.statusSeen(status));
            }
        }

        @Override
        public void onRecordRead(GroupRecord record, Duration askedAt) {
            control.execute(() -> promotion.recordSeen(record));
        }
    }
}
