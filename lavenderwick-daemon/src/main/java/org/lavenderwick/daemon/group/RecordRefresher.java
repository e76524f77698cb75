package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.function.BiConsumer;

import org.jboss.logging.Logger;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.promotion.GroupRecord;

/** Reads the group record when somebody needs it, at most once in a while. Confined to the event loop. */
final class RecordRefresher {
    /** Pause between two reads; the gap of a failover is seconds, and calls to the platform are counted. */
    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(200);

    /** Bound of the doublings of the pause while nothing changes; two pauses fit into the age of evidence. */
    private static final int MAX_DOUBLINGS = 2;

    private static final Logger LOG = Logger.getLogger(RecordRefresher.class);

    private final GroupRecords records;
    private final GroupSettings group;
    private final String operationId;
    private final EventLoop loop;
    private final BiConsumer<GroupRecord, Duration> listener;
    private Duration nextReadTime = Duration.ZERO;
    private String lastOperationId = "";
    private int doublings;
    private boolean reading;

    /**
     * Creates a refresher.
     *
     * @param records the records on the platform
     * @param group the group
     * @param operationId marks a first record that this daemon writes
     * @param loop event loop of the group
     * @param listener takes the record and the monotonic time before it was asked for
     */
    RecordRefresher(
            GroupRecords records,
            GroupSettings group,
            String operationId,
            EventLoop loop,
            BiConsumer<GroupRecord, Duration> listener) {
        this.records = records;
        this.group = group;
        this.operationId = operationId;
        this.loop = loop;
        this.listener = listener;
    }

    /** Reads the record unless a read is under way or was made a short while ago. */
    void refresh() {
        Duration askedAt = loop.now();
        if (reading || askedAt.compareTo(nextReadTime) < 0) {
            return;
        }
        reading = true;
        loop.deliver(records.readOrCreate(group, operationId), answer -> {
            reading = false;
            boolean changed =
                    answer.exists(known -> !known.record().operationId().equals(lastOperationId));
            doublings = changed ? 0 : Math.min(doublings + 1, MAX_DOUBLINGS);
            nextReadTime = loop.now().plus(MIN_READ_INTERVAL.multipliedBy(1L << doublings));
            if (answer.isRight()) {
                lastOperationId = answer.get().record().operationId();
                listener.accept(answer.get().record(), askedAt);
            } else {
                LOG.debugf(
                        "[group] %s: no group record: %s",
                        group.name(), answer.getLeft().detail());
            }
        });
    }
}
