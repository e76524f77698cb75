package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.admission.AdmissionQueue;
import org.lavenderwick.core.model.EndpointName;

/** The state of one owned group that its parts share. Confined to the event loop of the group. */
final class GroupContext {
    private final EventLoop loop;
    private final UsageMeter usage;
    private final Duration callTimeout;
    private final PrimaryView primaryView = new PrimaryView();
    private final Map<EndpointName, Target> targets = new LinkedHashMap<>();
    private final Map<Long, PendingWork> pending = new HashMap<>();
    private AdmissionQueue queue;
    private EvidenceKeeper evidence;

    GroupContext(EventLoop loop, UsageMeter usage, AdmissionQueue queue, Duration callTimeout) {
        this.loop = loop;
        this.usage = usage;
        this.queue = queue;
        this.callTimeout = callTimeout;
    }

    /** Returns how long a call that cannot be repeated may take. */
    Duration callTimeout() {
        return callTimeout;
    }

    EventLoop loop() {
        return loop;
    }

    UsageMeter usage() {
        return usage;
    }

    PrimaryView primaryView() {
        return primaryView;
    }

    AdmissionQueue queue() {
        return queue;
    }

    void queue(AdmissionQueue newQueue) {
        queue = newQueue;
    }

    EvidenceKeeper evidence() {
        return evidence;
    }

    void evidence(EvidenceKeeper newEvidence) {
        evidence = newEvidence;
    }

    Collection<Target> targets() {
        return targets.values();
    }

    Optional<Target> target(EndpointName endpoint) {
        return Optional.ofNullable(targets.get(endpoint));
    }

    void addTarget(Target target) {
        targets.put(target.name(), target);
    }

    void removeTarget(EndpointName endpoint) {
        targets.remove(endpoint);
    }

    /** Returns the waiting work with the given id. */
    PendingWork pending(long id) {
        return pending.get(id);
    }

    void addPending(long id, PendingWork work) {
        pending.put(id, work);
    }

    Optional<PendingWork> removePending(long id) {
        return Optional.ofNullable(pending.remove(id));
    }

    /** Returns the number of connections open or being opened, over all endpoints. */
    int openConnections() {
        return targets.values().stream()
                .mapToInt(target -> target.link().pool().connectionCount())
                .sum();
    }
}
