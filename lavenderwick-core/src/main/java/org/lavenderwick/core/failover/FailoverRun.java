package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.collect.Comparators;
import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;

/**
 * One attempt to replace the primary of a group. It proceeds as follows:
 *
 * <ol>
 *   <li>Acquire the failover lock of the group. The revision of the lock's store entry is the fencing token.
 *   <li>Close the term in the term record, put the record under a new lease and revoke the previous lease.
 *   <li>Demote the old primary, or obtain promises from the replicas to stop receiving its log.
 *   <li>Wait until all evidence gathered before the promises has expired.
 *   <li>Record a candidate that the {@link CandidatePolicy} of the group chooses, and request its promotion.
 *   <li>Open the candidate's term once the candidate reports that it is the primary.
 * </ol>
 *
 * <p>If commits of the group are acknowledged only after replicas have received them, a failover waits in step 3 until
 * the {@link SyncRequirement} is met; {@link #awaiting} says for which endpoints. Daemons take turns in waiting.
 *
 * <p>{@link #advance} executes one step and blocks for a few store or endpoint calls at most. Confined to one thread.
 */
public final class FailoverRun {

    private static final String RECORD_CHANGED = "another daemon changed the term record";

    private final GroupName group;
    private final Supplier<GroupDirectory> directory;
    private final Map<EndpointName, EndpointEntry> members;
    private final EndpointName suspect;
    private final FleetStore store;
    private final EndpointControl endpoints;
    private final PromotionPort promotions;
    private final FailoverTimings timings;
    private final TermRecordEditor terms;
    private final FailoverLock lock;
    private final SyncRequirements requirements;
    private final SyncPromiseCollector syncPromises;
    private final CandidateEligibility eligibility;
    private final PromotionRequests requests;
    private final CandidateMonitor monitor;
    private PromiseRound promises;
    private FailoverStep step = FailoverStep.ACQUIRE_LOCK;
    private FailoverOutcome outcome = FailoverOutcome.RUNNING;
    private long term;
    private long closedRevision;
    private boolean isTakeover;
    private Duration promisesStartedAt;
    private Duration promisedAt;
    private Duration evidenceExpiredAt;
    private EndpointName candidate;
    private EndpointReport chosenReport;
    private String cause = "";

    /**
     * Creates a failover that has not started.
     *
     * @param directory returns what the daemon knows of the group at present; its members include the suspect unless
     *     that is known to be gone
     * @param suspect the primary to replace; the run ends if the term record names another primary
     * @param requests the promotion requests of this failover, none so far
     */
    public FailoverRun(
            GroupName group,
            Supplier<GroupDirectory> directory,
            EndpointName suspect,
            FleetStore store,
            EndpointControl endpoints,
            PromotionPort promotions,
            PromotionRequests requests,
            FailoverTimings timings) {
        this.group = group;
        this.directory = directory;
        this.members = new HashMap<>(directory.get().members());
        this.suspect = suspect;
        this.store = store;
        this.endpoints = endpoints;
        this.promotions = promotions;
        this.timings = timings;
        this.terms = new TermRecordEditor(group, store);
        this.lock = new FailoverLock(group, store, timings.lockTtl());
        this.requirements = new SyncRequirements(
                group, store, directory, timings.retryDelay().multipliedBy(2));
        this.syncPromises = new SyncPromiseCollector(timings);
        this.requests = requests;
        this.monitor = new CandidateMonitor(endpoints);
        this.eligibility = new CandidateEligibility(timings, terms);
        this.promises = PromiseRound.of(this.members, suspect, endpoints);
    }

    /** Returns the store key of the failover lock of a group; the daemon that wrote the entry holds the lock. */
    public static String lockKey(GroupName group) {
        return "failover/" + group.value();
    }

    /** Returns the outcome, {@link FailoverOutcome#RUNNING} until the run ends. */
    public FailoverOutcome outcome() {
        return outcome;
    }

    /** Returns the candidate; empty until one is chosen. */
    public Optional<EndpointName> candidate() {
        return Optional.ofNullable(candidate);
    }

    /** Returns why the run ended or, until then, why a step failed last; empty if neither happened. */
    public String cause() {
        return cause;
    }

    /** Returns the endpoints that the failover waits for before it promotes one; empty if it does not wait. */
    public Optional<FailoverWait> awaiting() {
        return syncPromises.awaiting().or(eligibility::awaiting);
    }

    /** Returns the lease under which the failover holds its lock; 0 before it does. */
    public long lockLease() {
        return lock.lease();
    }

    /** Returns the name of the next step in log lines. */
    public String stepName() {
        return step.logName();
    }

    /** Executes the next step and returns the delay before the following one. */
    public Duration advance(Duration now) {
        boolean needsLock = step != FailoverStep.ACQUIRE_LOCK && step != FailoverStep.FINISHED;
        Optional<String> lost = needsLock ? lock.renewIfDue(now) : Optional.empty();
        if (lost.isPresent()) {
            return finish(FailoverOutcome.GIVEN_UP, lost.get());
        }
        return switch (step) {
            case ACQUIRE_LOCK -> acquireLock(now);
            case CLOSE_TERM -> closeTerm();
            case REVOKE_LEASES -> revokeLeases(now);
            case CHECK_CANDIDATE -> checkCandidate();
            case REQUEST_PROMISES -> requestPromises(now);
            case AWAIT_EXPIRY -> awaitEvidenceExpiry(now);
            case CHOOSE_CANDIDATE -> chooseCandidate(now);
            case PROMOTE -> promote(now);
            case CONFIRM -> confirm();
            case OPEN_TERM -> openTerm();
            case FINISHED -> Duration.ZERO;
        };
    }

    private Duration acquireLock(Duration now) {
        Either<Failure, Long> acquired = lock.acquire(suspect, now);
        if (acquired.isLeft()) {
            return finish(FailoverOutcome.NOT_NEEDED, acquired.getLeft().detail());
        }
        terms.fenceWith(acquired.get());
        return next(FailoverStep.CLOSE_TERM);
    }

    private Duration closeTerm() {
        Either<Failure, Optional<GroupTerm>> current = terms.read();
        if (current.isLeft()) {
            return retry(current.getLeft());
        }
        GroupTerm found = current.get().orElse(null);
        if (found == null
                || (found.phase() == TermPhase.OPEN && !found.primary().equals(suspect))) {
            return finish(FailoverOutcome.NOT_NEEDED, "the term record names another primary");
        }
        term = found.term();
        isTakeover |= found.phase() != TermPhase.OPEN && found.fencingToken() != lock.fencingToken();
        requests.continueAfter(found);
        requirements.replacing(term, Optional.of(found.primary()).filter(name -> !requests.mayHaveBegunTerm()));
        promises = PromiseRound.of(members, suspect, endpoints).restarted(requests);
        Either<Failure, Long> closed = terms.close(found);
        if (closed.isLeft()) {
            return retry(closed.getLeft());
        }
        closedRevision = closed.get();
        return next(FailoverStep.REVOKE_LEASES);
    }

    private Duration revokeLeases(Duration now) {
        promisesStartedAt = now;
        FailoverStep nextStep = isTakeover ? FailoverStep.CHECK_CANDIDATE : FailoverStep.REQUEST_PROMISES;
        return terms.revokeLeases().fold(this::retry, revision -> next(nextStep));
    }

    /** Skips to the confirmation if the candidate of an earlier run, if any is recorded, already leads a later term. */
    private Duration checkCandidate() {
        candidate = promises.primaryOfNewestTerm(promises.requestReports(), requests)
                .orElse(null);
        return next(candidate == null ? FailoverStep.REQUEST_PROMISES : FailoverStep.CONFIRM);
    }

    private Duration requestPromises(Duration now) {
        eligibility.onLeasesRevoked(now);
        SyncRequirement before = requirements.latest();
        return requirements.readIfDue(closedRevision, now).fold(this::retry, read -> {
            preparePromises(before, read);
            return read.isSynchronous() ? requestSyncPromises(read, now) : requestAsyncPromises(now);
        });
    }

    private Duration requestAsyncPromises(Duration now) {
        boolean all = promises.requestMissing(term, now);
        boolean enough = promises.hasAny() && now.minus(promisesStartedAt).compareTo(timings.promiseGracePeriod()) > 0;
        if (all || enough) {
            return next(FailoverStep.AWAIT_EXPIRY);
        }
        cause = promises.cause();
        return now.minus(promisesStartedAt).compareTo(timings.promiseTimeout()) > 0
                ? finish(FailoverOutcome.GIVEN_UP, "no endpoint gave a promise: " + cause)
                : timings.retryDelay();
    }

    private Duration requestSyncPromises(SyncRequirement requirement, Duration now) {
        GroupDirectory known = directory.get();
        // Awaited endpoints may come back at other addresses.
        members.putAll(known.members());
        Optional<Duration> promised = syncPromises.collect(promises, requirement, known, term, promisesStartedAt, now);
        if (promised.isEmpty()) {
            cause = promises.cause();
            return syncPromises.isOverdue(now) ? handOver() : timings.retryDelay();
        }
        promisedAt = promised.get();
        return next(FailoverStep.AWAIT_EXPIRY);
    }

    private Duration handOver() {
        lock.release();
        return finish(FailoverOutcome.HANDED_OVER, "another daemon may reach the endpoints that are awaited");
    }

    /** Begins a round that demotes the old primary, which only the requirement may name. */
    private void preparePromises(SyncRequirement before, SyncRequirement requirement) {
        if (requirement.isSynchronous() && !before.isSynchronous() && !requests.mayHaveBegunTerm()) {
            requirement.oldPrimary().ifPresent(name -> promises = PromiseRound.of(members, name, endpoints));
        } else if (!requirement.isSynchronous()) {
            syncPromises.stopWaiting();
        }
    }

    private Duration awaitEvidenceExpiry(Duration now) {
        if (promisedAt == null) {
            // All promises were given before this call, so the wait may start now.
            promisedAt = now;
        }
        evidenceExpiredAt = promisedAt.plus(timings.evidenceExpiry());
        return evidenceExpiredAt.compareTo(now) <= 0
                ? next(FailoverStep.CHOOSE_CANDIDATE)
                : evidenceExpiredAt.minus(now);
    }

    private Duration chooseCandidate(Duration now) {
        Map<EndpointName, EndpointReport> reports = promises.requestReports();
        Optional<EndpointName> leading = promises.primaryOfLaterTerm(reports, term);
        if (leading.isPresent()) {
            // An endpoint that may have been replaced unseen promises like the others, and may be chosen then.
            boolean isNewest = promises.primaryOfNewestTerm(reports, requests).equals(leading);
            return isNewest || !requests.mayHaveBegunTerm()
                    ? recordCandidate(leading.get(), reports)
                    : restartPromises(now);
        }
        SyncRequirement before = requirements.latest();
        Either<Failure, SyncRequirement> current = requirements.confirm(closedRevision, now);
        if (current.isLeft()) {
            return retry(current.getLeft());
        }
        preparePromises(before, current.get());
        if (current.get().isSynchronous() && !before.isSynchronous()) {
            // The promises were collected by the rules of another configuration.
            return restartPromises(now);
        }
        CandidatePolicy policy = CandidatePolicy.of(timings, current.get(), store);
        CandidatePolicy.Decision decision = policy.choose(new CandidatePolicy.Situation(
                promises,
                reports,
                requests.candidateOfEarlierRun(),
                eligibility.eligible(promises, reports, now),
                requests.refusedCandidates(),
                now.minus(evidenceExpiredAt),
                now));
        cause = decision.cause();
        if (current.get().isSynchronous()) {
            // The policy counts only promises that the reports confirm, so they are as good as new.
            promisedAt = Comparators.max(promisedAt, now.minus(timings.evidenceExpiry()));
        }
        return switch (decision.action()) {
            case PROMOTE -> recordCandidate(decision.candidate().orElseThrow(), reports);
            case POLL -> timings.catchUpPollDelay();
            case RETRY -> {
                requests.forgetRefusals();
                yield timings.retryDelay();
            }
            case RESTART -> restartPromises(now);
        };
    }

    private Duration recordCandidate(EndpointName chosen, Map<EndpointName, EndpointReport> reports) {
        candidate = chosen;
        chosenReport = reports.get(chosen);
        return recordRequest();
    }

    /** Records the candidate and the term that its promotion may begin, before the promotion is requested. */
    private Duration recordRequest() {
        long nextTerm = requests.nextTerm(promises.promisedTerm());
        return terms.recordRequest(candidate, nextTerm).fold(this::retry, recorded -> {
            requests.onRecorded(candidate, nextTerm);
            return recorded ? next(FailoverStep.PROMOTE) : finish(FailoverOutcome.GIVEN_UP, RECORD_CHANGED);
        });
    }

    /**
     * Restarts the collection of promises, because an endpoint forgets its promise when it restarts. If the latest
     * candidate leads by now, no promises are needed.
     */
    private Duration restartPromises(Duration now) {
        promises = promises.restarted(requests);
        requirements.expire();
        promisedAt = null;
        promisesStartedAt = now;
        step = requests.mayHaveBegunTerm() ? FailoverStep.CHECK_CANDIDATE : FailoverStep.REQUEST_PROMISES;
        return timings.retryDelay();
    }

    private Duration promote(Duration now) {
        if (promisedAt == null
                || now.minus(promisedAt).compareTo(timings.evidenceExpiry().plus(timings.promiseMaxAge())) > 0
                || (requirements.latest().isSynchronous() && !promises.hasKeptLog(candidate, chosenReport))) {
            return restartPromises(now);
        }
        if (!requests.isNextRecorded()) {
            return recordRequest();
        }
        Either<Failure, PromotionAnswer> response = promotions.promote(group, candidate, lock.fencingToken());
        requests.onAnswer(response);
        if (response.isLeft()) {
            // The promotion may take effect all the same, so the candidate stays until its state is known.
            cause = response.getLeft().detail();
            return next(FailoverStep.CONFIRM);
        }
        return switch (response.get()) {
            case ACCEPTED -> next(FailoverStep.CONFIRM);
            case BUSY -> timings.retryDelay();
            case REFUSED -> {
                // An earlier request may still take effect once the candidate is back; the new promises reveal that.
                yield restartPromises(now);
            }
        };
    }

    private Duration confirm() {
        Optional<EndpointReport> leading = monitor.poll(members.get(candidate), requests.lowestConfirmingTerm());
        if (leading.isPresent()) {
            term = leading.get().term();
            return next(FailoverStep.OPEN_TERM);
        }
        if (monitor.isRequestDue()) {
            step = FailoverStep.PROMOTE;
        }
        return timings.retryDelay().dividedBy(2);
    }

    private Duration openTerm() {
        return terms.open(candidate, term)
                .fold(
                        this::retry,
                        opened -> opened
                                ? finish(FailoverOutcome.DONE, "")
                                : finish(FailoverOutcome.GIVEN_UP, RECORD_CHANGED));
    }

    private Duration next(FailoverStep nextStep) {
        step = nextStep;
        return Duration.ZERO;
    }

    private Duration retry(Failure failure) {
        cause = failure.detail();
        return timings.retryDelay();
    }

    private Duration finish(FailoverOutcome reached, String reason) {
        step = FailoverStep.FINISHED;
        outcome = reached;
        cause = reason;
        return Duration.ZERO;
    }
}
