package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.time.Backoff;

/**
 * Steps 2 to 4 of a promotion: seals the endpoints, waits until no evidence for the closed term can be valid, and
 * chooses the candidate. Repeating the seal call on a sealed endpoint only returns its state.
 *
 * <p>Writes of the closed term can be acknowledged until the wait ends. Therefore a log position counts for the choice
 * only if it was requested after the wait, or if that log can no longer grow.
 */
final class SealPhase {

    private record SealResponse(EndpointReport report, Duration sentAt) {}

    private final GroupRecord record;
    private final Term nextTerm;
    private final List<EndpointName> endpoints;
    private final int majority;
    private final PromotionTimings timings;
    private final Backoff backoff;
    private final Duration drainDeadline;

    private final Map<EndpointName, SealResponse> responses = new HashMap<>();
    private Duration waitEnd;
    private Duration selectionStart;
    private Duration nextPoll;

    SealPhase(
            GroupRecord record, List<EndpointName> endpoints, PromotionTimings timings, Backoff backoff, Duration now) {
        this.record = record;
        this.nextTerm = record.term().next();
        this.endpoints = endpoints;
        this.majority = endpoints.size() / 2 + 1;
        this.timings = timings;
        this.backoff = backoff;
        this.drainDeadline = now.plus(timings.drainLimit());
        this.nextPoll = now;
        backoff.reset();
    }

    Term nextTerm() {
        return nextTerm;
    }

    /** Records the response to a seal call for the next term. */
    void onResponse(EndpointReport report, Duration sentAt, Duration now) {
        SealResponse earlier = responses.get(report.endpoint());
        if (earlier != null && earlier.sentAt().compareTo(sentAt) > 0) {
            return;
        }
        responses.put(report.endpoint(), new SealResponse(report, sentAt));
        if (waitEnd == null && responses.size() >= majority) {
            waitEnd = now.plus(timings.sealWait());
            backoff.reset();
        }
    }

    /** Returns the endpoints to call now: those not yet sealed, and those whose state must be refreshed. */
    List<EndpointName> dueEndpoints(Duration now) {
        startSelectionIfDue(now);
        if (now.compareTo(nextPoll) < 0) {
            return List.of();
        }
        nextPoll = now.plus(pollDelay());
        if (selectionStart != null) {
            return endpoints;
        }
        List<EndpointName> due = new ArrayList<>();
        for (EndpointName endpoint : endpoints) {
            if (!responses.containsKey(endpoint) || (record.planned() && !hasCaughtUp(endpoint))) {
                due.add(endpoint);
            }
        }
        return due;
    }

    private Duration pollDelay() {
        if (selectionStart != null) {
            return timings.endpointTimeout();
        }
        boolean catchingUp = record.planned() && waitEnd != null;
        return catchingUp ? timings.retryBase() : timings.retryBase().plus(backoff.nextDelay());
    }

    private void startSelectionIfDue(Duration now) {
        if (waitEnd == null || selectionStart != null || now.compareTo(waitEnd) < 0) {
            return;
        }
        if (!record.planned() || now.compareTo(drainDeadline) >= 0) {
            selectionStart = now;
            nextPoll = now;
        }
    }

    /** Returns the time of the next poll or decision. */
    Duration nextWake(Duration now) {
        Duration wake = nextPoll;
        if (waitEnd != null && waitEnd.compareTo(now) > 0 && waitEnd.compareTo(wake) < 0) {
            wake = waitEnd;
        }
        return wake;
    }

    /** Returns the candidate, or empty if none can be chosen yet. */
    Optional<CandidateChoice> chooseCandidate(Duration now) {
        if (waitEnd == null || now.compareTo(waitEnd) < 0) {
            return Optional.empty();
        }
        return selectionStart == null ? chooseCaughtUp() : chooseMostAdvanced(now);
    }

    /** Returns a switchover candidate that has the complete log of the drained primary, or empty if there is none. */
    private Optional<CandidateChoice> chooseCaughtUp() {
        if (!record.planned() || !isDrained()) {
            return Optional.empty();
        }
        LogPoint end = pointOf(record.primary());
        return endpoints.stream()
                .filter(endpoint -> !endpoint.equals(record.primary()))
                .filter(endpoint ->
                        record.target().isEmpty() || record.target().get().equals(endpoint))
                .filter(endpoint ->
                        responses.containsKey(endpoint) && pointOf(endpoint).equals(end))
                .min(Comparator.naturalOrder())
                .map(candidate -> new CandidateChoice(candidate, end.position(), true));
    }

    /**
     * Returns the endpoint with the most advanced log among a majority queried after the wait, or empty if fewer have
     * responded. A switchover that reaches this step is aborted: its primary stays primary in the next term if it
     * responded; otherwise the promotion continues as an unplanned one.
     */
    private Optional<CandidateChoice> chooseMostAdvanced(Duration now) {
        List<EndpointName> fresh = endpoints.stream().filter(this::isFresh).toList();
        boolean complete =
                fresh.size() == responses.size() || now.compareTo(selectionStart.plus(timings.endpointTimeout())) >= 0;
        if (fresh.size() < majority || !complete) {
            return Optional.empty();
        }
        if (record.planned() && fresh.contains(record.primary())) {
            long end = pointOf(record.primary()).position();
            return Optional.of(new CandidateChoice(record.primary(), end, true));
        }
        EndpointName best = fresh.stream()
                .min(Comparator.comparing(this::pointOf, Comparator.reverseOrder())
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
        return Optional.of(new CandidateChoice(best, pointOf(best).position(), false));
    }

    private boolean isFresh(EndpointName endpoint) {
        SealResponse response = responses.get(endpoint);
        return response != null && response.sentAt().compareTo(selectionStart) >= 0;
    }

    /** Returns whether the sealed primary has no open transactions, so that its log can no longer grow. */
    private boolean isDrained() {
        SealResponse response = responses.get(record.primary());
        return response != null && response.report().openTransactions() == 0;
    }

    /** Returns whether the endpoint has the complete log of the drained primary and need not be polled again. */
    private boolean hasCaughtUp(EndpointName endpoint) {
        return isDrained() && pointOf(endpoint).equals(pointOf(record.primary()));
    }

    private LogPoint pointOf(EndpointName endpoint) {
        return RecordTransitions.survivingPoint(responses.get(endpoint).report().point(), record.termStarts());
    }
}
