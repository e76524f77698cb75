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
 * chooses the candidate. A sealed endpoint is asked by the same call again, which only returns its
 * state.
 *
 * <p>After the wait nothing that an endpoint runs in the closed term can be acknowledged any more. Therefore a position
 * counts for the choice only if it was asked for after the wait, or if the log it belongs to can grow no further.
 */
final class SealPhase {

    private record Answer(EndpointReport report, Duration askedAt) {}

    private final GroupRecord record;
    private final Term nextTerm;
    private final List<EndpointName> endpoints;
    private final int majority;
    private final PromotionTimings timings;
    private final Backoff backoff;
    private final Duration drainDeadline;

    private final Map<EndpointName, Answer> answers = new HashMap<>();
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

    /** Takes note of an answer to a seal for the next term. */
    void answered(EndpointReport report, Duration askedAt, Duration now) {
        Answer known = answers.get(report.endpoint());
        if (known != null && known.askedAt().compareTo(askedAt) > 0) {
            return;
        }
        answers.put(report.endpoint(), new Answer(report, askedAt));
        if (waitEnd == null && answers.size() >= majority) {
            waitEnd = now.plus(timings.sealWait());
            backoff.reset();
        }
    }

    /** Returns the endpoints to seal now, or to ask again. */
    List<EndpointName> poll(Duration now) {
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
            if (!answers.containsKey(endpoint) || (record.planned() && !isSettled(endpoint))) {
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

    /** Returns when to poll or to decide next. */
    Duration nextWake(Duration now) {
        Duration wake = nextPoll;
        if (waitEnd != null && waitEnd.compareTo(now) > 0 && waitEnd.compareTo(wake) < 0) {
            wake = waitEnd;
        }
        return wake;
    }

    /** Returns the candidate once it can be chosen. */
    Optional<CandidateChoice> choose(Duration now) {
        if (waitEnd == null || now.compareTo(waitEnd) < 0) {
            return Optional.empty();
        }
        return selectionStart == null ? chooseCaughtUp() : chooseFurthest(now);
    }

    /** For a switchover: a candidate with all that the drained primary has. */
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
                        answers.containsKey(endpoint) && pointOf(endpoint).equals(end))
                .min(Comparator.naturalOrder())
                .map(candidate -> new CandidateChoice(candidate, end.position(), true));
    }

    /**
     * The furthest log among a majority that was asked after the wait. A switchover that comes here is aborted: its
     * primary goes on under the next term if it answers, and otherwise its failure makes the promotion unplanned.
     */
    private Optional<CandidateChoice> chooseFurthest(Duration now) {
        List<EndpointName> fresh = endpoints.stream().filter(this::isFresh).toList();
        boolean complete =
                fresh.size() == answers.size() || now.compareTo(selectionStart.plus(timings.endpointTimeout())) >= 0;
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
        Answer answer = answers.get(endpoint);
        return answer != null && answer.askedAt().compareTo(selectionStart) >= 0;
    }

    /** Returns whether the sealed primary has ended all its work, so that its log grows no further. */
    private boolean isDrained() {
        Answer answer = answers.get(record.primary());
        return answer != null && answer.report().openTransactions() == 0;
    }

    /** Returns whether asking the endpoint again brings nothing new for a switchover. */
    private boolean isSettled(EndpointName endpoint) {
        return isDrained() && pointOf(endpoint).equals(pointOf(record.primary()));
    }

    private LogPoint pointOf(EndpointName endpoint) {
        return RecordTransitions.common(answers.get(endpoint).report().point(), record.termStarts());
    }
}
