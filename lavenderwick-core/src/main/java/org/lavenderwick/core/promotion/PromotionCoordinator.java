package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.time.Backoff;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Changes the primary of one database group, or takes up a change that another coordinator left half done. The group
 * record on the platform says which step was reached; every change of it is a compare-and-swap by revision, and a
 * coordinator first writes its own fencing token into a record that it takes over. Why this is safe is shown in
 * {@code docs/safety.md}.
 *
 * <p>One instance serves one request. Events carry the monotonic time; each returns the actions to perform. A
 * coordinator whose lease lapsed by its own clock performs nothing more under it, drops what it knew and begins anew
 * with another lease. Confined to one thread.
 */
public final class PromotionCoordinator {

    private enum Phase {
        IDLE,
        ACQUIRE,
        READ,
        WRITE,
        SEAL,
        PROMOTE,
        FINISHED
    }

    private final String holder;
    private final List<EndpointName> endpoints;
    private final PromotionTimings timings;
    private final Backoff platformBackoff;
    private final Backoff endpointBackoff;
    private final LeaseHold lease;
    private final CallSlot slot;
    private final List<PromotionAction> actions = new ArrayList<>();

    private PromotionRequest request;
    private Duration startedAt;
    private boolean mayHaveBegun;
    private String closeOperation = "";
    private boolean closed;
    private boolean withdrawn;
    private long operations;

    private Phase phase = Phase.IDLE;
    private Duration phaseRetryAt = Duration.ZERO;

    private Optional<GroupRecord> before = Optional.empty();
    private GroupRecord record;
    private long revision;
    private GroupRecord intended;
    private SealPhase sealing;
    private PromotePhase promoting;

    private PromotionCoordinator(
            String holder, List<EndpointName> endpoints, PromotionTimings timings, RandomGenerator random) {
        checkArgument(!endpoints.isEmpty(), "a group needs an endpoint");
        this.holder = holder;
        this.endpoints = ImmutableList.copyOf(endpoints);
        this.timings = timings;
        this.lease = new LeaseHold(timings);
        this.slot = new CallSlot(timings);
        this.platformBackoff = Backoff.create(timings.retryBase(), timings.retryCap(), random);
        this.endpointBackoff = Backoff.create(timings.retryBase(), timings.retryCap(), random);
    }

    /**
     * Returns an idle coordinator.
     *
     * @param holder name for the lease and for operation ids; unique for each instance ever made
     * @param endpoints endpoints of the group
     * @param timings times of the fleet
     * @param random source of jitter
     */
    public static PromotionCoordinator create(
            String holder, List<EndpointName> endpoints, PromotionTimings timings, RandomGenerator random) {
        return new PromotionCoordinator(holder, endpoints, timings, random);
    }

    /** Begins to work on a request. */
    public List<PromotionAction> start(PromotionRequest newRequest, Duration now) {
        checkState(phase == Phase.IDLE, "a coordinator serves one request");
        newRequest
                .target()
                .ifPresent(target -> checkArgument(endpoints.contains(target), "%s is not in the group", target));
        request = newRequest;
        startedAt = now;
        enterCall(Phase.ACQUIRE, now);
        return advance(now);
    }

    /** Withdraws the request; without effect once the group record was changed or seen half done. */
    public List<PromotionAction> withdraw(Duration now) {
        withdrawn = true;
        return advance(now);
    }

    /** The lease was granted or renewed. */
    public List<PromotionAction> onLeaseGranted(long call, long token, Duration now) {
        if (takeAnswer(call, now)) {
            lease.granted(token, slot.askedAt(), now);
            if (phase == Phase.ACQUIRE) {
                platformBackoff.reset();
                enterCall(lease.isHeld() ? Phase.READ : Phase.ACQUIRE, now);
            }
        }
        return advance(now);
    }

    /** Another coordinator holds the lease, or the lease to renew has lapsed. */
    public List<PromotionAction> onLeaseRefused(long call, Duration now) {
        if (takeAnswer(call, now)) {
            dropLease(now);
        }
        return advance(now);
    }

    /** A call to the platform failed or got no answer; a write may have taken effect. */
    public List<PromotionAction> onPlatformCallFailed(long call, Duration now) {
        if (takeAnswer(call, now)) {
            callFailed(now);
        }
        return advance(now);
    }

    /** The group record was read; a group without a record cannot be promoted. */
    public List<PromotionAction> onRecordRead(long call, Optional<GroupRecord> read, long readRevision, Duration now) {
        if (takeAnswer(call, now)) {
            if (read.isEmpty()) {
                finish(PromotionOutcome.ABANDONED);
            } else {
                platformBackoff.reset();
                resolve(read.get(), readRevision, now);
            }
        }
        return advance(now);
    }

    /** The group record was written. */
    public List<PromotionAction> onWriteAccepted(long call, long newRevision, Duration now) {
        if (takeAnswer(call, now)) {
            platformBackoff.reset();
            GroupRecord written = intended;
            intended = null;
            adopt(written, newRevision, now);
        }
        return advance(now);
    }

    /** The group record has another revision than expected. */
    public List<PromotionAction> onWriteConflicted(long call, Duration now) {
        if (takeAnswer(call, now)) {
            enterCall(Phase.READ, now);
        }
        return advance(now);
    }

    /**
     * An endpoint answered.
     *
     * @param call the call that it answers
     * @param report its state when it answered
     * @param now monotonic time at which the answer was taken in
     */
    public List<PromotionAction> onEndpointResponse(
            PromotionAction.EndpointCall call, EndpointReport report, Duration now) {
        if (!lease.isLapsed(now) && call.endpoint().equals(report.endpoint())) {
            if (phase == Phase.SEAL && call.term().equals(sealing.nextTerm())) {
                sealAnswered(call, report, now);
            } else if (phase == Phase.PROMOTE && call.term().equals(record.term())) {
                promoteAnswered(report, now);
            }
        }
        return advance(now);
    }

    /** The time of the last {@link PromotionAction.WakeAt} has come. Calling it at other times does no harm. */
    public List<PromotionAction> tick(Duration now) {
        return advance(now);
    }

    private void sealAnswered(PromotionAction.EndpointCall call, EndpointReport report, Duration now) {
        if (report.promisedTerm().isAfter(sealing.nextTerm())) {
            enterCall(Phase.READ, now);
        } else if (report.promisedTerm().equals(sealing.nextTerm())) {
            sealing.answered(report, call.sentAt(), now);
        }
    }

    private void promoteAnswered(EndpointReport report, Duration now) {
        if (report.promisedTerm().isAfter(record.term())) {
            enterCall(Phase.READ, now);
        } else if (report.primary() && report.term().equals(record.term())) {
            write(RecordTransitions.open(record, lease.token(), nextOperation()), now);
        }
    }

    /** Interprets a read record: first whether a write of ours took effect, then what is to do. */
    private void resolve(GroupRecord read, long readRevision, Duration now) {
        if (before.isEmpty()) {
            before = Optional.of(read);
        }
        if (read.fencingToken() > lease.token()) {
            dropLease(now);
            return;
        }
        boolean mayStillLand = intended != null
                && readRevision == revision
                && !read.operationId().equals(intended.operationId());
        if (mayStillLand) {
            // The same write again: whichever of the two arrives first takes effect, the other one conflicts.
            enterCall(Phase.WRITE, now);
            return;
        }
        intended = null;
        adopt(read, readRevision, now);
    }

    private void adopt(GroupRecord known, long knownRevision, Duration now) {
        record = known;
        revision = knownRevision;
        mayHaveBegun |= known.state() != GroupState.OPEN;
        closed |= known.operationId().equals(closeOperation);
        if (known.state() == GroupState.OPEN) {
            beginOrFinish(now);
        } else if (known.fencingToken() != lease.token()) {
            write(RecordTransitions.claim(known, lease.token(), nextOperation()), now);
        } else if (known.state() == GroupState.CLOSING) {
            phase = Phase.SEAL;
            sealing = new SealPhase(known, endpoints, timings, endpointBackoff, now);
        } else {
            phase = Phase.PROMOTE;
            promoting = new PromotePhase(known, timings, now);
        }
    }

    private void beginOrFinish(Duration now) {
        if (!closed && !withdrawn && request.closes(record, before.orElseThrow())) {
            closeOperation = nextOperation();
            write(
                    RecordTransitions.close(record, request.planned(), request.target(), lease.token(), closeOperation),
                    now);
        } else if (record.operationId().startsWith(holder + "/")) {
            boolean same = before.orElseThrow().primary().equals(record.primary());
            finish(same ? PromotionOutcome.REOPENED : PromotionOutcome.OPENED);
        } else {
            finish(withdrawn ? PromotionOutcome.ABANDONED : PromotionOutcome.NOT_NEEDED);
        }
    }

    /** Performs what is due, and asks to be woken for what is due next. */
    private List<PromotionAction> advance(Duration now) {
        if (phase != Phase.IDLE && phase != Phase.FINISHED) {
            if (lease.isLapsed(now)) {
                dropLease(now);
            }
            if (slot.closeIfOverdue(now)) {
                callFailed(now);
            }
            giveUpIfNothingBegun(now);
            advancePhase(now);
        }
        List<PromotionAction> result = ImmutableList.copyOf(actions);
        actions.clear();
        return result;
    }

    private void advancePhase(Duration now) {
        if (phase == Phase.SEAL) {
            for (EndpointName endpoint : sealing.poll(now)) {
                actions.add(new PromotionAction.Seal(endpoint, sealing.nextTerm(), now));
            }
            sealing.choose(now)
                    .ifPresent(choice ->
                            write(RecordTransitions.promote(record, choice, lease.token(), nextOperation()), now));
        } else if (phase == Phase.PROMOTE) {
            if (promoting.isOver(now)) {
                write(RecordTransitions.close(record, false, Optional.empty(), lease.token(), nextOperation()), now);
            } else if (promoting.isDue(now)) {
                actions.add(promoting.call(now));
            }
        }
        if (phase == Phase.FINISHED) {
            return;
        }
        sendIfDue(now);
        actions.add(new PromotionAction.WakeAt(nextWake(now)));
    }

    /** Sends the platform call of the phase, or renews the lease. At most one call waits for its answer. */
    private void sendIfDue(Duration now) {
        if (slot.isOpen()) {
            return;
        }
        boolean due = isCallPhase() && now.compareTo(phaseRetryAt) >= 0;
        boolean renew = !due && lease.isRenewalDue(now);
        if (!due && !renew) {
            return;
        }
        long call = slot.open(renew, now);
        if (renew) {
            actions.add(new PromotionAction.RenewLease(call, lease.token()));
        } else if (phase == Phase.ACQUIRE) {
            actions.add(new PromotionAction.AcquireLease(call, holder, timings.leaseTtl()));
        } else if (phase == Phase.READ) {
            actions.add(new PromotionAction.ReadRecord(call));
        } else {
            actions.add(new PromotionAction.WriteRecord(call, intended, revision));
        }
    }

    private boolean isCallPhase() {
        return phase == Phase.ACQUIRE || phase == Phase.READ || phase == Phase.WRITE;
    }

    private Duration nextWake(Duration now) {
        Duration wake = lease.isHeld() ? lease.until() : now.plus(timings.leaseTtl());
        if (slot.isOpen()) {
            wake = Comparators.min(wake, slot.overdueAt());
        } else {
            wake = lease.isHeld() ? Comparators.min(wake, lease.renewAt()) : wake;
            wake = isCallPhase() ? Comparators.min(wake, phaseRetryAt) : wake;
        }
        if (phase == Phase.SEAL) {
            wake = Comparators.min(wake, sealing.nextWake(now));
        } else if (phase == Phase.PROMOTE) {
            wake = Comparators.min(wake, promoting.nextWake());
        }
        return wake;
    }

    /** Returns whether the answer belongs to the call that is waited for, under a lease that still holds. */
    private boolean takeAnswer(long call, Duration now) {
        return !lease.isLapsed(now) && slot.close(call);
    }

    private void callFailed(Duration now) {
        Duration retryAt = now.plus(platformBackoff.nextDelay());
        if (slot.isRenewal()) {
            lease.renewNotBefore(retryAt);
        } else {
            phase = phase == Phase.WRITE ? Phase.READ : phase;
            phaseRetryAt = retryAt;
        }
    }

    private void write(GroupRecord newRecord, Duration now) {
        intended = newRecord;
        enterCall(Phase.WRITE, now);
    }

    private void enterCall(Phase newPhase, Duration now) {
        phase = newPhase;
        phaseRetryAt = now;
    }

    private void dropLease(Duration now) {
        mayHaveBegun |= intended != null;
        lease.drop();
        slot.abandon();
        record = null;
        intended = null;
        sealing = null;
        promoting = null;
        phase = Phase.ACQUIRE;
        phaseRetryAt = now.plus(platformBackoff.nextDelay());
    }

    private void giveUpIfNothingBegun(Duration now) {
        boolean tooLate = now.compareTo(startedAt.plus(timings.startLimit())) >= 0;
        if (phase != Phase.FINISHED && !mayHaveBegun && intended == null && (withdrawn || tooLate)) {
            finish(PromotionOutcome.ABANDONED);
        }
    }

    private void finish(PromotionOutcome outcome) {
        if (lease.isHeld()) {
            actions.add(new PromotionAction.ReleaseLease(slot.unanswered(), lease.token()));
        }
        phase = Phase.FINISHED;
        actions.add(new PromotionAction.Finished(outcome, before, Optional.ofNullable(record)));
    }

    private String nextOperation() {
        operations++;
        return holder + "/" + operations;
    }
}
