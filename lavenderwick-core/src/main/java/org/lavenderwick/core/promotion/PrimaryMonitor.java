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

    private final List<EndpointName> endpoints;
    private final int majority;
    private final PromotionTimings timings;

    private final Map<EndpointName, Duration> answeredAt = new HashMap<>();
    private final Map<EndpointName, Duration> probedAt = new HashMap<>();

    private GroupRecord record;
    private Duration recordSince = Duration.ZERO;
    private Duration silentSince;
    private Duration unansweredSince;
    private Duration lastTick;
    private Duration lastStart;
    private Instant primaryStamp;
    private Instant replicaStamp;
    private Duration replicaStampRoseAt;

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
    public void recordSeen(GroupRecord seen, Duration now) {
        if (record != null && seen.operationId().equals(record.operationId())) {
            return;
        }
        if (record == null
                || !seen.primary().equals(record.primary())
                || !seen.term().equals(record.term())) {
            resetSilence(now);
            primaryStamp = null;
            replicaStamp = null;
        }
        record = seen;
        recordSince = now;
    }

    /** Takes note of an answer of an endpoint. */
    public List<MonitorAction> answered(EndpointReport report, Duration now) {
        answeredAt.put(report.endpoint(), now);
        if (record == null) {
            return ImmutableList.of();
        }
        if (!report.endpoint().equals(record.primary())) {
            if (replicaStamp == null || report.pointTime().isAfter(replicaStamp)) {
                replicaStamp = report.pointTime();
                replicaStampRoseAt = now;
            }
            return ImmutableList.of();
        }
        boolean withdraw = lastStart != null && record.state() == GroupState.OPEN;
        resetSilence(now);
        if (primaryStamp == null || report.pointTime().isAfter(primaryStamp)) {
            primaryStamp = report.pointTime();
        }
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
        return now.minus(silentSince).compareTo(timings.suspicionAfter()) >= 0
                && unansweredSince != null
                && now.minus(unansweredSince).compareTo(timings.probeInterval()) >= 0
                && answeringReplicas() >= majority
                && !replicasReportProgress(now);
    }

    private long answeringReplicas() {
        return endpoints.stream()
                .filter(endpoint -> !endpoint.equals(record.primary()))
                .map(answeredAt::get)
                .filter(at -> at != null && at.compareTo(unansweredSince) >= 0)
                .count();
    }

    /**
     * Returns whether the newest stamp of the primary that replicas know rose lately. A rise that can come from a
     * backlog does not count: a primary that died just before its probe may have stamped entries for up to a probe
     * interval after its last answer. Only stamps of the primary's own clock are compared.
     */
    private boolean replicasReportProgress(Duration now) {
        boolean roseLately =
                replicaStamp != null && now.minus(replicaStampRoseAt).compareTo(timings.suspicionAfter()) < 0;
        boolean backlog = primaryStamp != null && !replicaStamp.isAfter(primaryStamp.plus(timings.probeInterval()));
        return roseLately && !backlog;
    }

    private boolean isProbeDue(EndpointName endpoint, Duration now) {
        Duration last = probedAt.get(endpoint);
        return last == null || now.minus(last).compareTo(timings.probeInterval()) >= 0;
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
    }
}
