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
 * Asks for term evidence when work needs it and wakes the work that waits for it. Confined to the event loop of the
 * group.
 */
final class EvidenceRequester {
    /** Time without evidence after which no more writes are sent until there is some; many round trips. */
    private static final Duration OPTIMISTIC_SEND_LIMIT = Duration.ofMillis(300);

    /** Time without evidence after which work is refused if the owner cannot reach a majority of the endpoints. */
    private static final Duration ISOLATION_TIMEOUT = Duration.ofSeconds(1);

    /** Time without work after which the search for evidence begins anew. */
    private static final Duration IDLE_RESET = Duration.ofSeconds(2);

    /** Pause between two looks for due questions while work waits. */
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
     * Creates a keeper.
     *
     * @param evidence the evidence of the group
     * @param majority number of endpoints that make a majority
     * @param loop event loop of the group
     * @param askEndpoint asks an endpoint for its status, which comes back through {@link #onStatus}
     * @param askPlatform reads the group record, which comes back through {@link #onRecordRead}
     */
    EvidenceRequester(
            TermEvidence evidence,
            int majority,
            EventLoop loop,
            Consumer<EndpointName> askEndpoint,
            Runnable askPlatform) {
        this.evidence = evidence;
        this.majority = majority;
        this.loop = loop;
        this.statusRequest = askEndpoint;
        this.recordRead = askPlatform;
    }

    /** Returns whether work of the term may be sent: there is evidence, or it can be expected in time. */
    boolean maySend(Term term) {
        Duration now = loop.now();
        if (evidence.mayAcknowledge(term, now)) {
            missingSince = null;
            return true;
        }
        boolean idle = lastCheck == null || now.minus(lastCheck).compareTo(IDLE_RESET) > 0;
        lastCheck = now;
        if (missingSince == null || idle || !missingTerm.equals(term)) {
            // After a search without success work waits for evidence instead of being sent in the hope of it.
            boolean failedBefore = missingSince != null && missingTerm.equals(term);
            missingSince = failedBefore ? now.minus(OPTIMISTIC_SEND_LIMIT) : now;
            missingTerm = term;
            respondingEndpoints.clear();
        }
        return now.minus(missingSince).compareTo(OPTIMISTIC_SEND_LIMIT) < 0;
    }

    /**
     * Returns whether no evidence can be had here: the search goes on for a while already, and fewer than a majority of
     * the endpoints have answered since. Another owner may be better placed. To be asked after {@link #maySend}.
     */
    boolean isIsolated() {
        return missingSince != null
                && loop.now().minus(missingSince).compareTo(ISOLATION_TIMEOUT) >= 0
                && respondingEndpoints.size() < majority;
    }

    /** Sends the questions that are due so that work of the term can be acknowledged. */
    void sendDueRequests(Term term) {
        EvidenceRequests questions = evidence.dueRequests(term, loop.now());
        questions.endpoints().stream().sorted(Comparator.naturalOrder()).forEach(statusRequest);
        if (questions.platform()) {
            recordRead.run();
        }
    }

    /**
     * Waits until work of the term may be acknowledged.
     *
     * @param term the term
     * @param until monotonic time at which the wait ends
     * @param consumer is told on the loop whether it may
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

    void onStatus(EndpointStatus status, Duration askedAt) {
        respondingEndpoints.add(status.endpoint());
        evidence.recordEndpointResponse(status.endpoint(), status.promisedTerm(), askedAt);
        completeWaiters();
    }

    void onRecordRead(GroupRecord record, Duration askedAt) {
        evidence.recordPlatformResponse(record, askedAt);
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
