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
 * A state machine that changes the primary of one database group, or resumes a change that another coordinator left
 * unfinished. The group record on the platform stores the current step. Every change of it is a compare-and-swap by
 * revision, and a coordinator that takes over a record first writes its own fencing token into it. The safety argument
 * is in {@code docs/safety.md}.
 *
 * <p>One instance serves one request. Each event method takes the current monotonic time and returns the actions to
 * perform. When its lease expires by its own clock, the coordinator discards its state and starts again with a new
 * lease. Confined to one thread.
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
    private final CoordinatorLease lease;
    private final PendingCall pendingCall;
    private final List<PromotionAction> actions = new ArrayList<>();

    private PromotionRequest request;
    private Duration startedAt;
    private boolean mayBeUnderway;
    private String closeOperation = "";
    private boolean hasClosedTerm;
    private boolean withdrawn;
    private long operationCount;

    private Phase phase = Phase.IDLE;
    private Duration phaseRetryAt = Duration.ZERO;

    private Optional<GroupRecord> before = Optional.empty();
    private GroupRecord record;
    private long revision;
    private GroupRecord pendingWrite;
    private SealPhase sealing;
    private PromotePhase promoting;

    private PromotionCoordinator(
            String holder, List<EndpointName> endpoints, PromotionTimings timings, RandomGenerator random) {
        checkArgument(!endpoints.isEmpty(), "a group must have at least one endpoint");
        this.holder = holder;
        this.endpoints = ImmutableList.copyOf(endpoints);
        this.timings = timings;
        this.lease = new CoordinatorLease(timings);
        this.pendingCall = new PendingCall(timings);
        this.platformBackoff = Backoff.create(timings.retryBase(), timings.retryCap(), random);
        this.endpointBackoff = Backoff.create(timings.retryBase(), timings.retryCap(), random);
    }

    /**
     * Returns an idle coordinator.
     *
     * @param holder lease holder name and prefix of operation ids; never reused by another instance
     * @param endpoints endpoints of the group
     * @param timings time limits, equal for the whole fleet
     * @param random source of backoff jitter
     */
    public static PromotionCoordinator create(
            String holder, List<EndpointName> endpoints, PromotionTimings timings, RandomGenerator random) {
        return new PromotionCoordinator(holder, endpoints, timings, random);
    }

    /** Starts the request. The coordinator must be idle. */
    public List<PromotionAction> start(PromotionRequest newRequest, Duration now) {
        checkState(phase == Phase.IDLE, "the coordinator has already been started");
        newRequest
                .target()
                .ifPresent(target -> checkArgument(endpoints.contains(target), "target not in group: %s", target));
        request = newRequest;
        startedAt = now;
        enterCallPhase(Phase.ACQUIRE, now);
        return advance(now);
    }

    /** Withdraws the request. Has no effect once the group record may have changed or shows an unfinished promotion. */
    public List<PromotionAction> withdraw(Duration now) {
        withdrawn = true;
        return advance(now);
    }

    /** Reports that the lease was granted or renewed. */
    public List<PromotionAction> onLeaseGranted(long call, long token, Duration now) {
        if (acceptResponse(call, now)) {
            lease.onGranted(token, pendingCall.sentAt(), now);
            if (phase == Phase.ACQUIRE) {
                platformBackoff.reset();
                enterCallPhase(lease.isHeld() ? Phase.READ : Phase.ACQUIRE, now);
            }
        }
        return advance(now);
    }

    /** Reports that another coordinator holds the lease, or that the lease to renew has expired. */
    public List<PromotionAction> onLeaseRefused(long call, Duration now) {
        if (acceptResponse(call, now)) {
            dropLease(now);
        }
        return advance(now);
    }

    /** Reports that a platform call failed or got no response. A write may nevertheless have taken effect. */
    public List<PromotionAction> onPlatformCallFailed(long call, Duration now) {
        if (acceptResponse(call, now)) {
            retryCall(now);
        }
        return advance(now);
    }

    /** Reports the group record that was read. A group without a record cannot be promoted. */
    public List<PromotionAction> onRecordRead(long call, Optional<GroupRecord> read, long readRevision, Duration now) {
        if (acceptResponse(call, now)) {
            if (read.isEmpty()) {
                finish(PromotionOutcome.ABANDONED);
            } else {
                platformBackoff.reset();
                resolve(read.get(), readRevision, now);
            }
        }
        return advance(now);
    }

    /** Reports that the group record was written. */
    public List<PromotionAction> onWriteAccepted(long call, long newRevision, Duration now) {
        if (acceptResponse(call, now)) {
            platformBackoff.reset();
            GroupRecord written = pendingWrite;
            pendingWrite = null;
            adopt(written, newRevision, now);
        }
        return advance(now);
    }

    /** Reports that a write failed because the group record does not have the expected revision. */
    public List<PromotionAction> onWriteConflicted(long call, Duration now) {
        if (acceptResponse(call, now)) {
            enterCallPhase(Phase.READ, now);
        }
        return advance(now);
    }

    /**
     * Reports the response of an endpoint.
     *
     * @param call the call that the endpoint responds to
     * @param report state of the endpoint
     * @param now current monotonic time
     */
    public List<PromotionAction> onEndpointResponse(
            PromotionAction.EndpointCall call, EndpointReport report, Duration now) {
        if (!lease.isExpired(now) && call.endpoint().equals(report.endpoint())) {
            if (phase == Phase.SEAL && call.term().equals(sealing.nextTerm())) {
                onSealResponse(call, report, now);
            } else if (phase == Phase.PROMOTE && call.term().equals(record.term())) {
                onPromoteResponse(report, now);
            }
        }
        return advance(now);
    }

    /** Performs what is due. Must be called at the last {@link PromotionAction.WakeAt}; other calls are harmless. */
    public List<PromotionAction> tick(Duration now) {
        return advance(now);
    }

    private void onSealResponse(PromotionAction.EndpointCall call, EndpointReport report, Duration now) {
        if (report.promisedTerm().isAfter(sealing.nextTerm())) {
            enterCallPhase(Phase.READ, now);
        } else if (report.promisedTerm().equals(sealing.nextTerm())) {
            sealing.onResponse(report, call.sentAt(), now);
        }
    }

    private void onPromoteResponse(EndpointReport report, Duration now) {
        if (report.promisedTerm().isAfter(record.term())) {
            enterCallPhase(Phase.READ, now);
        } else if (report.primary() && report.term().equals(record.term())) {
            write(RecordTransitions.open(record, lease.token(), nextOperation()), now);
        }
    }

    /** Determines from the record whether the pending write of this coordinator took effect, and what to do next. */
    private void resolve(GroupRecord read, long readRevision, Duration now) {
        if (before.isEmpty()) {
            before = Optional.of(read);
        }
        if (read.fencingToken() > lease.token()) {
            dropLease(now);
            return;
        }
        boolean mayTakeEffectLater = pendingWrite != null
                && readRevision == revision
                && !read.operationId().equals(pendingWrite.operationId());
        if (mayTakeEffectLater) {
            // Repeats the same write: the copy that arrives first takes effect, and the other one conflicts.
            enterCallPhase(Phase.WRITE, now);
            return;
        }
        pendingWrite = null;
        adopt(read, readRevision, now);
    }

    private void adopt(GroupRecord newRecord, long newRevision, Duration now) {
        record = newRecord;
        revision = newRevision;
        mayBeUnderway |= newRecord.state() != GroupState.OPEN;
        hasClosedTerm |= newRecord.operationId().equals(closeOperation);
        if (newRecord.state() == GroupState.OPEN) {
            closeTermOrFinish(now);
        } else if (newRecord.fencingToken() != lease.token()) {
            write(RecordTransitions.claim(newRecord, lease.token(), nextOperation()), now);
        } else if (newRecord.state() == GroupState.CLOSING) {
            phase = Phase.SEAL;
            sealing = new SealPhase(newRecord, endpoints, timings, endpointBackoff, now);
        } else {
            phase = Phase.PROMOTE;
            promoting = new PromotePhase(newRecord, timings, now);
        }
    }

    private void closeTermOrFinish(Duration now) {
        if (!hasClosedTerm && !withdrawn && request.shouldClose(record, before.orElseThrow())) {
            closeOperation = nextOperation();
            write(
                    RecordTransitions.close(record, request.planned(), request.target(), lease.token(), closeOperation),
                    now);
        } else if (record.operationId().startsWith(holder + "/")) {
            boolean primaryUnchanged = before.orElseThrow().primary().equals(record.primary());
            finish(primaryUnchanged ? PromotionOutcome.REOPENED : PromotionOutcome.OPENED);
        } else {
            finish(withdrawn ? PromotionOutcome.ABANDONED : PromotionOutcome.NOT_NEEDED);
        }
    }

    /** Advances to the given time, and returns the due actions and the next wake-up time. */
    private List<PromotionAction> advance(Duration now) {
        if (phase != Phase.IDLE && phase != Phase.FINISHED) {
            if (lease.isExpired(now)) {
                dropLease(now);
            }
            if (pendingCall.abandonIfTimedOut(now)) {
                retryCall(now);
            }
            abandonIfNotUnderway(now);
            advancePhase(now);
        }
        List<PromotionAction> result = ImmutableList.copyOf(actions);
        actions.clear();
        return result;
    }

    private void advancePhase(Duration now) {
        if (phase == Phase.SEAL) {
            for (EndpointName endpoint : sealing.dueEndpoints(now)) {
                actions.add(new PromotionAction.Seal(endpoint, sealing.nextTerm(), now));
            }
            sealing.chooseCandidate(now)
                    .ifPresent(choice ->
                            write(RecordTransitions.promote(record, choice, lease.token(), nextOperation()), now));
        } else if (phase == Phase.PROMOTE) {
            if (promoting.isTimedOut(now)) {
                write(RecordTransitions.close(record, false, Optional.empty(), lease.token(), nextOperation()), now);
            } else if (promoting.isDue(now)) {
                actions.add(promoting.nextPromote(now));
            }
        }
        if (phase == Phase.FINISHED) {
            return;
        }
        sendDueCall(now);
        actions.add(new PromotionAction.WakeAt(nextWake(now)));
    }

    /** Starts the platform call of the current phase or a lease renewal if one is due and no other call is pending. */
    private void sendDueCall(Duration now) {
        if (pendingCall.isPending()) {
            return;
        }
        boolean due = isCallPhase() && now.compareTo(phaseRetryAt) >= 0;
        boolean renew = !due && lease.isRenewalDue(now);
        if (!due && !renew) {
            return;
        }
        long call = pendingCall.start(renew, now);
        if (renew) {
            actions.add(new PromotionAction.RenewLease(call, lease.token()));
        } else if (phase == Phase.ACQUIRE) {
            actions.add(new PromotionAction.AcquireLease(call, holder, timings.leaseTtl()));
        } else if (phase == Phase.READ) {
            actions.add(new PromotionAction.ReadRecord(call));
        } else {
            actions.add(new PromotionAction.WriteRecord(call, pendingWrite, revision));
        }
    }

    private boolean isCallPhase() {
        return phase == Phase.ACQUIRE || phase == Phase.READ || phase == Phase.WRITE;
    }

    private Duration nextWake(Duration now) {
        Duration wake = lease.isHeld() ? lease.validUntil() : now.plus(timings.leaseTtl());
        if (pendingCall.isPending()) {
            wake = Comparators.min(wake, pendingCall.timeoutAt());
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

    /** Completes the pending call, and returns whether the response belongs to it and the lease has not expired. */
    private boolean acceptResponse(long call, Duration now) {
        return !lease.isExpired(now) && pendingCall.complete(call);
    }

    private void retryCall(Duration now) {
        Duration retryAt = now.plus(platformBackoff.nextDelay());
        if (pendingCall.isRenewal()) {
            lease.postponeRenewal(retryAt);
        } else {
            phase = phase == Phase.WRITE ? Phase.READ : phase;
            phaseRetryAt = retryAt;
        }
    }

    private void write(GroupRecord newRecord, Duration now) {
        pendingWrite = newRecord;
        enterCallPhase(Phase.WRITE, now);
    }

    private void enterCallPhase(Phase newPhase, Duration now) {
        phase = newPhase;
        phaseRetryAt = now;
    }

    private void dropLease(Duration now) {
        mayBeUnderway |= pendingWrite != null;
        lease.drop();
        pendingCall.abandon();
        record = null;
        pendingWrite = null;
        sealing = null;
        promoting = null;
        phase = Phase.ACQUIRE;
        phaseRetryAt = now.plus(platformBackoff.nextDelay());
    }

    private void abandonIfNotUnderway(Duration now) {
        boolean tooLate = now.compareTo(startedAt.plus(timings.startLimit())) >= 0;
        if (phase != Phase.FINISHED && !mayBeUnderway && pendingWrite == null && (withdrawn || tooLate)) {
            finish(PromotionOutcome.ABANDONED);
        }
    }

    private void finish(PromotionOutcome outcome) {
        if (lease.isHeld()) {
            actions.add(new PromotionAction.ReleaseLease(pendingCall.nextNumber(), lease.token()));
        }
        phase = Phase.FINISHED;
        actions.add(new PromotionAction.Finished(outcome, before, Optional.ofNullable(record)));
    }

    private String nextOperation() {
        operationCount++;
        return holder + "/" + operationCount;
    }
}
