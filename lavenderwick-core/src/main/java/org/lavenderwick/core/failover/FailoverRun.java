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
 *   <li>Obtain the promise of a majority of the endpoints not to support the term any more.
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
    private final PromiseRound promises;

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
        this.records = new TermRecordStore(store);
        this.promises = new PromiseRound(this.members, suspect, endpoints);
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
    public static String dutyKey(GroupName group) {
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
            case VOTE -> vote(now);
            case WAIT -> waitForEvidence(now);
            case CHOOSE -> choose(now);
            case PROMOTE -> promote();
            case CONFIRM -> confirm();
            case OPEN -> open();
            case FINISHED -> Duration.ZERO;
        };
    }

    /** Renews the lease of the duty in time; without it another daemon may have taken over, and the run ends. */
    private boolean holdsDuty(Duration now) {
        Duration age = now.minus(dutyRenewedAt);
        if (age.compareTo(timings.dutyLease().dividedBy(3)) < 0) {
            return true;
        }
        Either<Failure, Long> renewed = store.renewLease(dutyLease);
        if (renewed.isRight()) {
            dutyRenewedAt = now;
            return true;
        }
        boolean ended = renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED;
        if (ended || age.compareTo(timings.dutyLease().dividedBy(2)) > 0) {
            finish(
                    FailoverOutcome.GIVEN_UP,
                    "the duty is lost: " + renewed.getLeft().detail());
            return false;
        }
        return true;
    }

    private Duration takeDuty(Duration now) {
        Either<Failure, Long> taken = store.grantLease(timings.dutyLease()).flatMap(lease -> {
            dutyLease = lease;
            return store.write(new StoreWrite(dutyKey(group), StoreWrite.ABSENT, suspect.value(), lease));
        });
        if (taken.isLeft()) {
            return finish(FailoverOutcome.NOT_NEEDED, taken.getLeft().detail());
        }
        dutyRenewedAt = now;
        fencingToken = taken.get();
        return next(Step.CLOSE);
    }

    private Duration close() {
        Either<Failure, Optional<GroupTerm>> current = records.read(group);
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
            // An earlier run ended all evidence before it recorded its candidate, which may have been promoted.
            earlierCandidate = found.primary();
            closedAt = Duration.ZERO;
            GroupTerm own = found.in(TermPhase.PROMOTING, found.primary(), fencingToken);
            return write(records.record().with(group, own), Step.CHOOSE);
        }
        if (found.phase() == TermPhase.CLOSING && found.fencingToken() == fencingToken) {
            // A write of this run whose answer was lost.
            endingLeases = records.record().endingLeases();
            return next(Step.END_LEASE);
        }
        Either<Failure, Long> lease = store.grantLease(TermLease.TIME_TO_LIVE);
        if (lease.isLeft()) {
            return retry(lease.getLeft());
        }
        GroupTerm closing = found.in(TermPhase.CLOSING, found.primary(), fencingToken);
        TermRecord next = records.record().withLease(lease.get()).with(group, closing);
        endingLeases = next.endingLeases();
        return write(next, Step.END_LEASE);
    }

    private Duration endLease(Duration now) {
        for (long lease : endingLeases) {
            Either<Failure, Long> ended = store.endLease(lease);
            if (ended.isLeft()) {
                return retry(ended.getLeft());
            }
        }
        votingSince = now;
        return next(Step.VOTE);
    }

    private Duration vote(Duration now) {
        if (promises.ask(term)) {
            return next(Step.WAIT);
        }
        cause = promises.cause();
        return now.minus(votingSince).compareTo(timings.voteLimit()) > 0
                ? finish(FailoverOutcome.GIVEN_UP, "no majority of the endpoints answers: " + cause)
                : timings.retryPause();
    }

    private Duration waitForEvidence(Duration now) {
        if (closedAt == null) {
            // Counted from here, as the last promise was given after the step before had begun.
            closedAt = now;
        }
        Duration left = closedAt.plus(timings.evidenceEnd()).minus(now);
        return left.isNegative() || left.isZero() ? next(Step.CHOOSE) : left;
    }

    private Duration choose(Duration now) {
        Map<EndpointName, EndpointReport> reports = promises.reports();
        Optional<EndpointName> leading = reports.entrySet().stream()
                .filter(entry -> entry.getValue().role() == EndpointRole.PRIMARY
                        && entry.getValue().term() > term)
                .map(Map.Entry::getKey)
                .findFirst();
        Optional<EndpointName> best = leading.or(() -> Optional.ofNullable(earlierCandidate)
                        .filter(name -> reports.containsKey(name) && !refused.contains(name)))
                .or(() -> promises.best(reports, refused));
        if (best.isEmpty()) {
            refused.clear();
            return retry(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "no endpoint can be promoted"));
        }
        if (leading.isEmpty() && isCatchingUp(reports, best.get(), now)) {
            return timings.retryPause().dividedBy(CATCH_UP_POLLS);
        }
        candidate = best.get();
        return writeOwn(found -> found.in(TermPhase.PROMOTING, candidate, fencingToken), Step.PROMOTE);
    }

    /** Writes the next state of the group, if the record still carries the token of this run. */
    private Duration writeOwn(UnaryOperator<GroupTerm> change, Step following) {
        Either<Failure, Optional<GroupTerm>> current = records.read(group);
        if (current.isLeft()) {
            return retry(current.getLeft());
        }
        GroupTerm found = current.get().orElse(null);
        if (found == null || found.fencingToken() != fencingToken) {
            return finish(FailoverOutcome.GIVEN_UP, "another daemon changed the record");
        }
        TermRecord next = records.record().withoutEnded(endingLeases).with(group, change.apply(found));
        return write(next, following);
    }

    private Duration write(TermRecord next, Step following) {
        Either<Failure, Long> written = records.write(next);
        return written.isRight() ? next(following) : retry(written.getLeft());
    }

    /** Returns whether the stopped primary still holds commits that the candidate may receive. */
    private boolean isCatchingUp(Map<EndpointName, EndpointReport> reports, EndpointName best, Duration now) {
        EndpointReport old = reports.get(suspect);
        return !best.equals(suspect)
                && old != null
                && old.received().compareTo(reports.get(best).received()) > 0
                && now.minus(closedAt).compareTo(timings.evidenceEnd().plus(timings.catchUpLimit())) < 0;
    }

    private Duration promote() {
        Either<Failure, PromotionAnswer> answer = promotions.promote(group, candidate, fencingToken);
        if (answer.isLeft()) {
            // It may have been carried out; only this candidate may be tried until its state is known.
            cause = answer.getLeft().detail();
            return next(Step.CONFIRM);
        }
        return switch (answer.get()) {
            case ACCEPTED -> next(Step.CONFIRM);
            case BUSY -> timings.retryPause();
            case REFUSED -> {
                refused.add(candidate);
                step = Step.CHOOSE;
                yield timings.retryPause();
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
        return timings.retryPause().dividedBy(2);
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
        return timings.retryPause();
    }

    private Duration finish(FailoverOutcome reached, String reason) {
        step = Step.FINISHED;
        outcome = reached;
        cause = reason;
        return Duration.ZERO;
    }
}
