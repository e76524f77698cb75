package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The failure detector for the primary of one database group. It decides when to probe the primary and when to start a
 * promotion because the primary is unreachable. Responses to probes and to ordinary traffic count alike. The caller
 * must call {@link #tick} about every 100 ms.
 *
 * <p>Confined to one thread.
 */
public final class PrimaryMonitor {

    /**
     * Time that the primary has to respond to a probe before the replicas are probed too. Each owner without traffic
     * probes a healthy primary twice a second; always probing the replicas as well would triple these messages.
     */
    private static final Duration REPLICA_PROBE_DELAY = Duration.ofMillis(50);

    private final List<EndpointName> endpoints;
    private final int majority;
    private final PromotionTimings timings;

    private final Map<EndpointName, ReplicaProgress> replicas = new HashMap<>();
    private final Map<EndpointName, Duration> probedAt = new HashMap<>();

    private GroupRecord record;
    private Duration recordSince = Duration.ZERO;
    private Duration silentSince;
    private Duration probingSince;
    private Duration lastTick;
    private Duration lastPromotionRequestAt;

    private PrimaryMonitor(List<EndpointName> endpoints, PromotionTimings timings) {
        checkArgument(!endpoints.isEmpty(), "a group must have at least one endpoint");
        this.endpoints = ImmutableList.copyOf(endpoints);
        this.majority = endpoints.size() / 2 + 1;
        this.timings = timings;
    }

    /** Returns a monitor for a group with the given endpoints. It is inactive until a group record is reported. */
    public static PrimaryMonitor create(List<EndpointName> endpoints, PromotionTimings timings) {
        return new PrimaryMonitor(endpoints, timings);
    }

    /** Reports the group record that was read. */
    public void onRecordRead(GroupRecord newRecord, Duration now) {
        if (record != null && newRecord.operationId().equals(record.operationId())) {
            return;
        }
        if (record == null
                || !newRecord.primary().equals(record.primary())
                || !newRecord.term().equals(record.term())) {
            resetSilence(now);
        }
        record = newRecord;
        recordSince = now;
    }

    /** Reports the response of an endpoint, and returns the actions to perform. */
    public List<MonitorAction> onEndpointResponse(EndpointReport report, Duration now) {
        if (record == null) {
            return ImmutableList.of();
        }
        if (!report.endpoint().equals(record.primary())) {
            if (probingSince != null && endpoints.contains(report.endpoint())) {
                replicas.computeIfAbsent(report.endpoint(), name -> new ReplicaProgress())
                        .onResponse(report.pointTime(), now);
            }
            return ImmutableList.of();
        }
        boolean withdraw = lastPromotionRequestAt != null && record.state() == GroupState.OPEN;
        resetSilence(now);
        return withdraw ? ImmutableList.of(new MonitorAction.WithdrawPromotion(record.term())) : ImmutableList.of();
    }

    /** Returns the actions that are due at the given monotonic time. */
    public List<MonitorAction> tick(Duration now) {
        if (record == null) {
            return ImmutableList.of();
        }
        if (lastTick == null || now.minus(lastTick).compareTo(timings.probeInterval()) > 0) {
            // The process was paused and may not have read responses yet, so the silence is measured from now.
            resetSilence(now);
        }
        lastTick = now;
        if (record.state() != GroupState.OPEN) {
            return resumeIfStuck(now);
        }
        ImmutableList.Builder<MonitorAction> actions = ImmutableList.builder();
        boolean silent = now.minus(silentSince).compareTo(timings.probeInterval()) >= 0;
        if (silent) {
            if (probingSince == null) {
                probingSince = now;
            }
            endpoints.stream()
                    .filter(endpoint -> isProbeDue(endpoint, now))
                    .forEach(endpoint -> actions.add(probe(endpoint, now)));
        }
        if (isSuspected(now) && isPromotionRequestDue(now)) {
            lastPromotionRequestAt = now;
            actions.add(new MonitorAction.StartPromotion(record.term()));
        }
        return actions.build();
    }

    /** Returns whether the primary does not respond, a majority of the endpoints does, and none of them progresses. */
    private boolean isSuspected(Duration now) {
        if (probingSince == null
                || now.minus(probingSince).compareTo(timings.probeInterval()) < 0
                || now.minus(silentSince).compareTo(timings.suspicionAfter()) < 0) {
            return false;
        }
        List<ReplicaProgress> responding = replicas.values().stream()
                .filter(replica -> now.minus(replica.receivedAt).compareTo(timings.suspicionAfter()) < 0)
                .toList();
        return responding.stream().filter(replica -> replica.compared).count() >= majority
                && responding.stream().noneMatch(replica -> replica.advanced);
    }

    private boolean isProbeDue(EndpointName endpoint, Duration now) {
        boolean primary = endpoint.equals(record.primary());
        if (!primary && now.minus(probingSince).compareTo(REPLICA_PROBE_DELAY) < 0) {
            return false;
        }
        Duration last = probedAt.get(endpoint);
        Duration interval = primary ? timings.probeInterval() : replicaProbeInterval();
        return last == null || now.minus(last).compareTo(interval) >= 0;
    }

    private MonitorAction probe(EndpointName endpoint, Duration now) {
        probedAt.put(endpoint, now);
        return new MonitorAction.Probe(endpoint);
    }

    private List<MonitorAction> resumeIfStuck(Duration now) {
        if (now.minus(recordSince).compareTo(timings.suspicionAfter()) < 0 || !isPromotionRequestDue(now)) {
            return ImmutableList.of();
        }
        lastPromotionRequestAt = now;
        return ImmutableList.of(new MonitorAction.ResumePromotion());
    }

    private boolean isPromotionRequestDue(Duration now) {
        return lastPromotionRequestAt == null
                || now.minus(lastPromotionRequestAt).compareTo(timings.suspicionAfter()) >= 0;
    }

    private void resetSilence(Duration now) {
        silentSince = now;
        probingSince = null;
        lastPromotionRequestAt = null;
        replicas.clear();
    }

    /** Half the probe interval, so that each replica is probed twice before the primary is suspected. */
    private Duration replicaProbeInterval() {
        return timings.probeInterval().dividedBy(2);
    }

    /** Somewhat shorter than the replica probe interval, because the responses arrive with jitter. */
    private Duration minComparisonInterval() {
        return timings.probeInterval().multipliedBy(2).dividedBy(5);
    }

    /**
     * The replication progress that one replica reports while the primary does not respond. If the primary's timestamp
     * advances between two responses, then the primary is alive or the replica is still applying received entries; in
     * both cases a promotion must not start. Responses closer together than {@link #minComparisonInterval} are not
     * compared, because no heartbeat of the primary may lie between them.
     */
    private final class ReplicaProgress {

        private Instant pointTime;
        private Duration receivedAt;
        private boolean compared;
        private boolean advanced;

        private void onResponse(Instant newPointTime, Duration now) {
            if (pointTime == null) {
                pointTime = newPointTime;
                receivedAt = now;
            } else if (now.minus(receivedAt).compareTo(minComparisonInterval()) >= 0) {
                compared = true;
                advanced = newPointTime.isAfter(pointTime);
                pointTime = newPointTime;
                receivedAt = now;
            }
        }
    }
}
