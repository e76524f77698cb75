package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.admission.AdmissionQueue;
import org.lavenderwick.core.model.EndpointName;

/** The state of an owned group that the components of its executor share. Confined to the event loop of the group. */
final class GroupContext {
    private final EventLoop loop;
    private final UsageMeter usage;
    private final Duration callTimeout;
    private final KnownPrimary knownPrimary = new KnownPrimary();
    private final Map<EndpointName, EndpointTarget> targets = new LinkedHashMap<>();
    private final Map<Long, PendingWork> pending = new HashMap<>();
    private AdmissionQueue queue;
    private EvidenceRequester evidenceRequester;

    GroupContext(EventLoop loop, UsageMeter usage, AdmissionQueue queue, Duration callTimeout) {
        this.loop = loop;
        this.usage = usage;
        this.queue = queue;
        this.callTimeout = callTimeout;
    }

    /** Returns the timeout of endpoint calls that must not be retried. */
    Duration callTimeout() {
        return callTimeout;
    }

    EventLoop loop() {
        return loop;
    }

    UsageMeter usage() {
        return usage;
    }

    KnownPrimary knownPrimary() {
        return knownPrimary;
    }

    AdmissionQueue queue() {
        return queue;
    }

    void queue(AdmissionQueue newQueue) {
        queue = newQueue;
    }

    EvidenceRequester evidenceRequester() {
        return evidenceRequester;
    }

    void evidenceRequester(EvidenceRequester newEvidence) {
        evidenceRequester = newEvidence;
    }

    Collection<EndpointTarget> targets() {
        return targets.values();
    }

    Optional<EndpointTarget> target(EndpointName endpoint) {
        return Optional.ofNullable(targets.get(endpoint));
    }

    void addTarget(EndpointTarget target) {
        targets.put(target.name(), target);
    }

    void removeTarget(EndpointName endpoint) {
        targets.remove(endpoint);
    }

    /** Returns the queued work with the given id, or null if there is none. */
    PendingWork pending(long id) {
        return pending.get(id);
    }

    void addPending(long id, PendingWork work) {
        pending.put(id, work);
    }

    Optional<PendingWork> removePending(long id) {
        return Optional.ofNullable(pending.remove(id));
    }

    /** Returns the total number of connections to all endpoints that are open or being opened. */
    int openConnections() {
        return targets.values().stream()
                .mapToInt(target -> target.connections().poolState().connectionCount())
                .sum();
    }
}
