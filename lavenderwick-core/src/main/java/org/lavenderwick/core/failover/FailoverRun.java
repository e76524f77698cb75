package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreWrite;

/**
 * Replaces the primary of one group. The steps are:
 *
 * <ol>
 *   <li>Take the duty: an entry under a lease, which exists once; its revision is the fencing token.
 *   <li>Close the term in the record, under a new lease, and end the lease of the record before.
 *   <li>Stop the old primary, or obtain the promise of the replicas to follow it no more.
 *   <li>Wait until all evidence that was gathered before has ended.
 *   <li>Record the most advanced endpoint as the candidate, and order its promotion.
 *   <li>Open the term of the candidate once it leads.
 * </ol>
 *
 * <p>Each call of {@link #advance} takes one step and blocks for at most a few calls. Confined to one thread.
 */
public final class FailoverRun {

    private enum Step {
        TAKE_DUTY,
        CLOSE,
        END_LEASE,
        CHECK_CANDIDATE,
        VOTE,
        WAIT,
        CHOOSE,
        PROMOTE,
        CONFIRM,
        OPEN,
        FINISHED
    }

    /** Orders after which the candidate is asked again instead of being ordered once more. */
    private static final int CONFIRMATIONS_PER_ORDER = 20;

    /** Questions per pause while the candidate of a planned replacement catches up. */
    private static final int CATCH_UP_POLLS = 5;

    private final GroupName group;
    private final Map<EndpointName, EndpointEntry> members;
    private final EndpointName suspect;
    private final FleetStore store;
    private final EndpointControl endpoints;
    private final PromotionPort promotions;
    private final FailoverTimings timings;
    private final TermRecordStore records;
    private PromiseRound promises;
    private TermRecordStore.Versioned terms = TermRecordStore.Versioned.NONE;

    private Step step = Step.TAKE_DUTY;
    private FailoverOutcome outcome = FailoverOutcome.RUNNING;
    private long dutyLease;
    private Duration dutyRenewedAt = Duration.ZERO;
    private long fencingToken;
    private Set<Long> endingLeases = Set.of();
    private long term;
    private final Set<EndpointName> refused = new HashSet<>();
    private Duration votingSince;
    private Duration closedAt;
    private EndpointName candidate;
    private EndpointName earlierCandidate;
    private int confirmations;
    private String cause = "";

    private FailoverRun(
            GroupName group,
            Collection<EndpointEntry> members,
            EndpointName suspect,
            FleetStore store,
            EndpointControl endpoints,
            PromotionPort promotions,
            FailoverTimings timings) {
        this.group = group;
        this.members = members.stream().collect(ImmutableMap.toImmutableMap(EndpointEntry::name, entry -> entry));
        this.suspect = suspect;
        this.store = store;
        this.endpoints = endpoints;
        this.promotions = promotions;
        this.timings = timings;
        this.records = TermRecordStore.of(store);
        this.promises = PromiseRound.of(this.members, suspect, endpoints);
    }

    /**
     * Returns a failover that has not begun.
     *
     * @param members all endpoints of the group, the suspect too unless it is known to be gone
     * @param suspect the primary that is to be replaced; the run ends if the record names another one by then
     */
    public static FailoverRun create(
            GroupName group,
            Collection<EndpointEntry> members,
            EndpointName suspect,
            FleetStore store,
            EndpointControl endpoints,
            PromotionPort promotions,
            FailoverTimings timings) {
        return new FailoverRun(group, members, suspect, store, endpoints, promotions, timings);
    }

    /** Returns the key of the entry that gives a daemon the duty for a group. */
    public static String lockKey(GroupName group) {
        return "failover/" + group.value();
    }

    /** Returns where the failover stands. */
    public FailoverOutcome outcome() {
        return outcome;
    }

    /** Returns the candidate, once there is one. */
    public Optional<EndpointName> candidate() {
        return Optional.ofNullable(candidate);
    }

    /** Returns why the last step did not succeed; empty if it did. */
    public String cause() {
        return cause;
    }

    /** Returns the name of the step that comes next, for logs. */
    public String stepName() {
        return step.name().toLowerCase(Locale.ROOT);
    }

    /** Takes the next step and returns how long to wait before the one after it. */
    public Duration advance(Duration now) {
        if (step.compareTo(Step.TAKE_DUTY) > 0 && step != Step.FINISHED && !holdsDuty(now)) {
            return Duration.ZERO;
        }
        return switch (step) {
            case TAKE_DUTY -> takeDuty(now);
            case CLOSE -> close();
            case END_LEASE -> endLease(now);
            case CHECK_CANDIDATE -> checkCandidate();
            case VOTE -> vote(now);
            case WAIT -> waitForEvidence(now);
            case CHOOSE -> choose(now);
            case PROMOTE -> promote(now);
            case CONFIRM -> confirm();
            case OPEN -> open();
            case FINISHED -> Duration.ZERO;
        };
    }

    /** Renews the lease of the duty in time; without it another daemon may have taken over, and the run ends. */
    private boolean holdsDuty(Duration now) {
        Duration age = now.minus(dutyRenewedAt);
        if (age.compareTo(timings.lockTtl().dividedBy(3)) < 0) {
            return true;
        }
        Either<Failure, Long> renewed = store.renewLease(dutyLease);
        if (renewed.isRight()) {
            dutyRenewedAt = now;
            return true;
        }
        boolean ended = renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED;
        if (ended || age.compareTo(timings.lockTtl().dividedBy(2)) > 0) {
            finish(
                    FailoverOutcome.GIVEN_UP,
                    "the duty is lost: " + renewed.getLeft().detail());
            return false;
        }
        return true;
    }

    private Duration takeDuty(Duration now) {
        Either<Failure, Long> taken = store.grantLease(timings.lockTtl()).flatMap(lease -> {
            dutyLease = lease;
            return store.write(new StoreWrite(lockKey(group), StoreWrite.ABSENT, suspect.value(), lease));
        });
        if (taken.isLeft()) {
            return finish(FailoverOutcome.NOT_NEEDED, taken.getLeft().detail());
        }
        dutyRenewedAt = now;
        fencingToken = taken.get();
        return next(Step.CLOSE);
    }

    private Duration close() {
        Either<Failure, Optional<GroupTerm>> current = readTerm();
        if (current.isLeft()) {
            return retry(current.getLeft());
        }
        GroupTerm found = current.get().orElse(null);
        if (found == null
                || (found.phase() == TermPhase.OPEN && !found.primary().equals(suspect))) {
            return finish(FailoverOutcome.NOT_NEEDED, "the record names another primary");
        }
        term = found.term();
        if (found.phase() == TermPhase.PROMOTING) {
            // An earlier run has chosen a candidate, which may have been promoted or still be.
            earlierCandidate = found.primary();
            promises = PromiseRound.withoutPrimary(members, endpoints);
        }
        if (found.phase() != TermPhase.OPEN && found.fencingToken() == fencingToken) {
            // A write of this run whose answer was lost.
            endingLeases = terms.record().leasesToRevoke();
            return next(Step.END_LEASE);
        }
        Either<Failure, Long> lease = store.grantLease(TermLease.TIME_TO_LIVE);
        if (lease.isLeft()) {
            return retry(lease.getLeft());
        }
        TermPhase phase = found.phase() == TermPhase.PROMOTING ? TermPhase.PROMOTING : TermPhase.CLOSING;
        GroupTerm closing = found.withPhase(phase, found.primary(), fencingToken);
        TermRecord next = terms.record().withLease(lease.get()).with(group, closing);
        endingLeases = next.leasesToRevoke();
        return write(next, Step.END_LEASE);
    }

    private Duration endLease(Duration now) {
        for (long lease : endingLeases) {
            Either<Failure, Long> ended = store.revokeLease(lease);
            if (ended.isLeft()) {
                return retry(ended.getLeft());
            }
        }
        votingSince = now;
        return next(earlierCandidate == null ? Step.VOTE : Step.CHECK_CANDIDATE);
    }

    /** Opens the term of the candidate of an earlier run at once if it leads. */
    private Duration checkCandidate() {
        EndpointEntry member = members.get(earlierCandidate);
        boolean leads = member != null
                && endpoints
                        .status(member)
                        .map(report -> report.leads() && report.term() > term)
                        .getOrElse(false);
        if (!leads) {
            return next(Step.VOTE);
        }
        candidate = earlierCandidate;
        return next(Step.CONFIRM);
    }

    private Duration vote(Duration now) {
        boolean all = promises.ask(term);
        boolean enough = promises.hasAny() && now.minus(votingSince).compareTo(timings.promiseGracePeriod()) > 0;
        if (all || enough) {
            return next(Step.WAIT);
        }
        cause = promises.cause();
        return now.minus(votingSince).compareTo(timings.promiseTimeout()) > 0
                ? finish(FailoverOutcome.GIVEN_UP, "no endpoint answers: " + cause)
                : timings.retryDelay();
    }

    private Duration waitForEvidence(Duration now) {
        if (closedAt == null) {
            // Counted from here, as the last promise was given after the step before had begun.
            closedAt = now;
        }
        Duration left = closedAt.plus(timings.evidenceExpiry()).minus(now);
        return left.isNegative() || left.isZero() ? next(Step.CHOOSE) : left;
    }

    private Duration choose(Duration now) {
        Map<EndpointName, EndpointReport> reports = promises.reports();
        Optional<EndpointName> leading = promises.leading(reports, term);
        // The fate of an earlier candidate must be known before another one is tried.
        Optional<EndpointName> best = leading.or(
                        () -> Optional.ofNullable(earlierCandidate).filter(name -> !refused.contains(name)))
                .or(() -> promises.best(reports, refused));
        if (best.isEmpty()) {
            refused.clear();
            return retry(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "no endpoint can be promoted"));
        }
        boolean patient = now.minus(closedAt).compareTo(timings.evidenceExpiry().plus(timings.catchUpTimeout())) < 0;
        if (leading.isEmpty() && patient && promises.isCatchingUp(best.get(), reports)) {
            return timings.retryDelay().dividedBy(CATCH_UP_POLLS);
        }
        candidate = best.get();
        if (leading.isEmpty() && !promises.allow(candidate, reports)) {
            return voteAgain(now);
        }
        return writeOwn(found -> found.withPhase(TermPhase.PROMOTING, candidate, fencingToken), Step.PROMOTE);
    }

    /** Writes the next state of the group, if the record still carries the token of this run. */
    private Duration writeOwn(UnaryOperator<GroupTerm> change, Step following) {
        Either<Failure, Optional<GroupTerm>> current = readTerm();
        if (current.isLeft()) {
            return retry(current.getLeft());
        }
        GroupTerm found = current.get().orElse(null);
        if (found == null || found.fencingToken() != fencingToken) {
            return finish(FailoverOutcome.GIVEN_UP, "another daemon changed the record");
        }
        TermRecord next = terms.record().withoutRevokedLeases(endingLeases).with(group, change.apply(found));
        return write(next, following);
    }

    private Either<Failure, Optional<GroupTerm>> readTerm() {
        return records.read()
                .peek(read -> terms = read)
                .map(read -> read.record().group(group));
    }

    private Duration write(TermRecord next, Step following) {
        Either<Failure, Long> written = records.write(next, terms.revision());
        return written.isRight() ? next(following) : retry(written.getLeft());
    }

    /** Obtains the promises anew, as an endpoint that restarted has forgotten its own. */
    private Duration voteAgain(Duration now) {
        promises.forget();
        closedAt = null;
        votingSince = now;
        step = Step.VOTE;
        return timings.retryDelay();
    }

    private Duration promote(Duration now) {
        if (closedAt == null
                || now.minus(closedAt).compareTo(timings.evidenceExpiry().plus(timings.promiseMaxAge())) > 0) {
            return voteAgain(now);
        }
        Either<Failure, PromotionAnswer> answer = promotions.promote(group, candidate, fencingToken);
        if (answer.isLeft()) {
            // It may have been carried out; only this candidate may be tried until its state is known.
            cause = answer.getLeft().detail();
            return next(Step.CONFIRM);
        }
        return switch (answer.get()) {
            case ACCEPTED -> next(Step.CONFIRM);
            case BUSY -> timings.retryDelay();
            case REFUSED -> {
                // An earlier order may still take effect if the candidate comes back; the new round would show it.
                refused.add(candidate);
                yield voteAgain(now);
            }
        };
    }

    private Duration confirm() {
        Either<Failure, EndpointReport> report = endpoints.status(members.get(candidate));
        if (report.isRight()
                && report.get().role() == EndpointRole.PRIMARY
                && report.get().term() >= term) {
            term = report.get().term();
            return next(Step.OPEN);
        }
        if (++confirmations % CONFIRMATIONS_PER_ORDER == 0) {
            step = Step.PROMOTE;
        }
        return timings.retryDelay().dividedBy(2);
    }

    private Duration open() {
        Duration pause = writeOwn(found -> GroupTerm.open(candidate, term, fencingToken), Step.FINISHED);
        if (step == Step.FINISHED && outcome == FailoverOutcome.RUNNING) {
            finish(FailoverOutcome.DONE, "");
        }
        return pause;
    }

    private Duration next(Step following) {
        step = following;
        return Duration.ZERO;
    }

    private Duration retry(Failure failure) {
        cause = failure.detail();
        return timings.retryDelay();
    }

    private Duration finish(FailoverOutcome reached, String reason) {
        step = Step.FINISHED;
        outcome = reached;
        cause = reason;
        return Duration.ZERO;
    }
}
