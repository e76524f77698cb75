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
 * Decides when the primary of one database group is probed and when it is taken for unreachable. Every answer of an
 * endpoint counts, whether to a probe or to ordinary traffic. The caller calls {@link #tick} about every 100 ms.
 *
 * <p>Confined to one thread.
 */
public final class PrimaryMonitor {

    /**
     * Time that the primary has to answer a probe before the replicas are probed too. Each owner without traffic probes
     * a healthy primary twice a second, and asking the replicas every time would triple these messages.
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
    private Duration unansweredSince;
    private Duration lastTick;
    private Duration lastStart;

    private PrimaryMonitor(List<EndpointName> endpoints, PromotionTimings timings) {
        checkArgument(!endpoints.isEmpty(), "a group needs an endpoint");
        this.endpoints = ImmutableList.copyOf(endpoints);
        this.majority = endpoints.size() / 2 + 1;
        this.timings = timings;
    }

    /** Returns a monitor for a group with the given endpoints. It stays quiet until it has seen the group record. */
    public static PrimaryMonitor create(List<EndpointName> endpoints, PromotionTimings timings) {
        return new PrimaryMonitor(endpoints, timings);
    }

    /** Takes note of the group record. */
    public void onRecordRead(GroupRecord seen, Duration now) {
        if (record != null && seen.operationId().equals(record.operationId())) {
            return;
        }
        if (record == null
                || !seen.primary().equals(record.primary())
                || !seen.term().equals(record.term())) {
            resetSilence(now);
        }
        record = seen;
        recordSince = now;
    }

    /** Takes note of an answer of an endpoint. */
    public List<MonitorAction> onEndpointResponse(EndpointReport report, Duration now) {
        if (record == null) {
            return ImmutableList.of();
        }
        if (!report.endpoint().equals(record.primary())) {
            if (unansweredSince != null && endpoints.contains(report.endpoint())) {
                replicas.computeIfAbsent(report.endpoint(), name -> new ReplicaProgress())
                        .answered(report.pointTime(), now);
            }
            return ImmutableList.of();
        }
        boolean withdraw = lastStart != null && record.state() == GroupState.OPEN;
        resetSilence(now);
        return withdraw ? ImmutableList.of(new MonitorAction.WithdrawPromotion(record.term())) : ImmutableList.of();
    }

    /** Returns what is due at the given time. */
    public List<MonitorAction> tick(Duration now) {
        if (record == null) {
            return ImmutableList.of();
        }
        if (lastTick == null || now.minus(lastTick).compareTo(timings.probeInterval()) > 0) {
            // This process was paused: answers may wait unread, so the silence is measured anew.
            resetSilence(now);
        }
        lastTick = now;
        if (record.state() != GroupState.OPEN) {
            return resumeIfStuck(now);
        }
        ImmutableList.Builder<MonitorAction> actions = ImmutableList.builder();
        boolean silent = now.minus(silentSince).compareTo(timings.probeInterval()) >= 0;
        if (silent) {
            if (unansweredSince == null) {
                unansweredSince = now;
            }
            endpoints.stream()
                    .filter(endpoint -> isProbeDue(endpoint, now))
                    .forEach(endpoint -> actions.add(probe(endpoint, now)));
        }
        if (isSuspected(now) && isStartDue(now)) {
            lastStart = now;
            actions.add(new MonitorAction.StartPromotion(record.term()));
        }
        return actions.build();
    }

    /** Returns whether the primary is unreachable for everyone who could be asked. */
    private boolean isSuspected(Duration now) {
        if (unansweredSince == null
                || now.minus(unansweredSince).compareTo(timings.probeInterval()) < 0
                || now.minus(silentSince).compareTo(timings.suspicionAfter()) < 0) {
            return false;
        }
        List<ReplicaProgress> answering = replicas.values().stream()
                .filter(replica -> now.minus(replica.stampAt).compareTo(timings.suspicionAfter()) < 0)
                .toList();
        return answering.stream().filter(replica -> replica.compared).count() >= majority
                && answering.stream().noneMatch(replica -> replica.risen);
    }

    private boolean isProbeDue(EndpointName endpoint, Duration now) {
        boolean primary = endpoint.equals(record.primary());
        if (!primary && now.minus(unansweredSince).compareTo(REPLICA_PROBE_DELAY) < 0) {
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
        if (now.minus(recordSince).compareTo(timings.suspicionAfter()) < 0 || !isStartDue(now)) {
            return ImmutableList.of();
        }
        lastStart = now;
        return ImmutableList.of(new MonitorAction.ResumePromotion());
    }

    private boolean isStartDue(Duration now) {
        return lastStart == null || now.minus(lastStart).compareTo(timings.suspicionAfter()) >= 0;
    }

    private void resetSilence(Duration now) {
        silentSince = now;
        unansweredSince = null;
        lastStart = null;
        replicas.clear();
    }

    /** Replicas are asked twice before the primary is suspected. */
    private Duration replicaProbeInterval() {
        return timings.probeInterval().dividedBy(2);
    }

    /** Somewhat less than the interval of the probes, whose answers arrive unevenly. */
    private Duration comparisonInterval() {
        return timings.probeInterval().multipliedBy(2).dividedBy(5);
    }

    /**
     * What one replica reports during the silence of the primary. A stamp of the primary that rises between two answers
     * shows that the primary is alive, or that the replica still applies what it received; both forbid a promotion.
     * Answers closer together than the interval are not compared, since heartbeats of the primary lie between them.
     */
    private final class ReplicaProgress {

        private Instant stamp;
        private Duration stampAt;
        private boolean compared;
        private boolean risen;

        private void answered(Instant newStamp, Duration now) {
            if (stamp == null) {
                stamp = newStamp;
                stampAt = now;
            } else if (now.minus(stampAt).compareTo(comparisonInterval()) >= 0) {
                compared = true;
                risen = newStamp.isAfter(stamp);
                stamp = newStamp;
                stampAt = now;
            }
        }
    }
}
