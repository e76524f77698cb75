package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.function.BiConsumer;

import org.jboss.logging.Logger;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.promotion.GroupRecord;

/** Reader of the group record on demand, with a minimum interval between reads. Confined to the event loop. */
final class RecordRefresher {
    /** Minimum interval between reads: a failover leaves a gap of seconds, and calls to the platform are counted. */
    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(200);

    /**
     * Maximum number of doublings of the interval while the record is unchanged. Two of the longest intervals still fit
     * into the maximum age of evidence.
     */
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
     * @param records store of the group records
     * @param group settings of the group
     * @param operationId operation id of the first record of the group if this daemon has to write it
     * @param loop event loop of the group
     * @param listener receives the record and the monotonic time at which the read was started
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

    /** Reads the record unless a read is in progress or the last one was too short a time ago. */
    void refresh() {
        Duration startedAt = loop.now();
        if (reading || startedAt.compareTo(nextReadTime) < 0) {
            return;
        }
        reading = true;
        loop.deliver(records.readOrCreate(group, operationId), response -> {
            reading = false;
            boolean changed =
                    response.exists(known -> !known.record().operationId().equals(lastOperationId));
            doublings = changed ? 0 : Math.min(doublings + 1, MAX_DOUBLINGS);
            nextReadTime = loop.now().plus(MIN_READ_INTERVAL.multipliedBy(1L << doublings));
            if (response.isRight()) {
                lastOperationId = response.get().record().operationId();
                listener.accept(response.get().record(), startedAt);
            } else {
                LOG.debugf(
                        "[group] %s: reading the group record failed; it is read again on demand: %s",
                        group.name(), response.getLeft().detail());
            }
        });
    }
}
