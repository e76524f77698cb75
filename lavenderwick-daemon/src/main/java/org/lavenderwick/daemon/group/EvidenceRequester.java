package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.EvidenceRequests;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.TermEvidence;

/**
 * Requester of the {@link TermEvidence} that work needs before it can be acknowledged. Term evidence proves that a
 * primary had not been replaced at a given time. Confined to the event loop of the group.
 */
final class EvidenceRequester {
    /** Time without evidence for which writes are still sent; many round trips, in which evidence usually arrives. */
    private static final Duration OPTIMISTIC_SEND_LIMIT = Duration.ofMillis(300);

    /** Time without evidence after which an owner that cannot reach a majority of the endpoints counts as isolated. */
    private static final Duration ISOLATION_TIMEOUT = Duration.ofSeconds(1);

    /** Time without work after which the wait for evidence and the count of responding endpoints start anew. */
    private static final Duration IDLE_RESET = Duration.ofSeconds(2);

    /** Interval at which due requests are sent while work waits for evidence. */
    private static final Duration REQUEST_CHECK_INTERVAL = Duration.ofMillis(50);

    private final TermEvidence evidence;
    private final EventLoop loop;
    private final Consumer<EndpointName> statusRequest;
    private final Runnable recordRead;
    private final int majority;
    private final Set<EndpointName> respondingEndpoints = new HashSet<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private Duration missingSince;
    private Duration lastCheck;
    private Term missingTerm = Term.NONE;
    private boolean timerScheduled;

    /**
     * Creates a requester.
     *
     * @param evidence the evidence of the group
     * @param majority number of endpoints that form a majority
     * @param loop event loop of the group
     * @param statusRequest requests the status of an endpoint; the response is passed to {@link #onStatus}
     * @param recordRead reads the group record from the platform; the result is passed to {@link #onRecordRead}
     */
    EvidenceRequester(
            TermEvidence evidence,
            int majority,
            EventLoop loop,
            Consumer<EndpointName> statusRequest,
            Runnable recordRead) {
        this.evidence = evidence;
        this.majority = majority;
        this.loop = loop;
        this.statusRequest = statusRequest;
        this.recordRead = recordRead;
    }

    /** Returns whether work of the term may be sent: there is evidence, or it can be expected to arrive in time. */
    boolean maySend(Term term) {
        Duration now = loop.now();
        if (evidence.mayAcknowledge(term, now)) {
            missingSince = null;
            return true;
        }
        boolean idle = lastCheck == null || now.minus(lastCheck).compareTo(IDLE_RESET) > 0;
        lastCheck = now;
        if (missingSince == null || idle || !missingTerm.equals(term)) {
            // If evidence for this term is already overdue, work waits for it instead of being sent without it.
            boolean alreadyMissing = missingSince != null && missingTerm.equals(term);
            missingSince = alreadyMissing ? now.minus(OPTIMISTIC_SEND_LIMIT) : now;
            missingTerm = term;
            respondingEndpoints.clear();
        }
        return now.minus(missingSince).compareTo(OPTIMISTIC_SEND_LIMIT) < 0;
    }

    /**
     * Returns whether this owner seems cut off from the group: evidence has been missing for {@link #ISOLATION_TIMEOUT}
     * and fewer than a majority of the endpoints have responded in that time. Another owner may still reach them. Call
     * {@link #maySend} first, which updates the time without evidence.
     */
    boolean isIsolated() {
        return missingSince != null
                && loop.now().minus(missingSince).compareTo(ISOLATION_TIMEOUT) >= 0
                && respondingEndpoints.size() < majority;
    }

    /** Sends the requests that are due for evidence of the term. */
    void sendDueRequests(Term term) {
        EvidenceRequests due = evidence.dueRequests(term, loop.now());
        due.endpoints().stream().sorted(Comparator.naturalOrder()).forEach(statusRequest);
        if (due.platform()) {
            recordRead.run();
        }
    }

    /**
     * Waits for evidence of the term, so that its work may be acknowledged.
     *
     * @param term the term
     * @param until monotonic time at which the wait gives up
     * @param consumer receives on the loop whether the work may be acknowledged
     */
    void awaitEvidence(Term term, Duration until, Consumer<Boolean> consumer) {
        if (evidence.mayAcknowledge(term, loop.now())) {
            consumer.accept(true);
            return;
        }
        waiters.add(new Waiter(term, until, consumer));
        sendDueRequests(term);
        startTimer();
    }

    /** Takes the status in the response to a request that was sent at the given monotonic time. */
    void onStatus(EndpointStatus status, Duration sentAt) {
        respondingEndpoints.add(status.endpoint());
        evidence.recordEndpointResponse(status.endpoint(), status.promisedTerm(), sentAt);
        completeWaiters();
    }

    /** Takes a group record whose read was started at the given monotonic time. */
    void onRecordRead(GroupRecord record, Duration startedAt) {
        evidence.recordPlatformResponse(record, startedAt);
        completeWaiters();
    }

    private void startTimer() {
        if (!timerScheduled && !waiters.isEmpty()) {
            timerScheduled = true;
            loop.scheduleAt(loop.now().plus(REQUEST_CHECK_INTERVAL), () -> {
                timerScheduled = false;
                completeWaiters();
                waiters.stream().map(Waiter::term).distinct().toList().forEach(this::sendDueRequests);
                startTimer();
            });
        }
    }

    private void completeWaiters() {
        Duration now = loop.now();
        if (missingSince != null && evidence.mayAcknowledge(missingTerm, now)) {
            missingSince = null;
        }
        List<Waiter> done = waiters.stream()
                .filter(waiter -> waiter.until.compareTo(now) <= 0 || evidence.mayAcknowledge(waiter.term, now))
                .toList();
        waiters.removeAll(done);
        done.forEach(waiter -> waiter.consumer.accept(evidence.mayAcknowledge(waiter.term, loop.now())));
    }

    private record Waiter(Term term, Duration until, Consumer<Boolean> consumer) {}
}
