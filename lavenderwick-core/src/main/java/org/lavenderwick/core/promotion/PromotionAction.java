package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** An action that a {@link PromotionCoordinator} asks its caller to perform. */
public sealed interface PromotionAction {

    /** A call to the platform. The caller reports the result together with the call number. */
    sealed interface PlatformCall extends PromotionAction {
        /** Returns the call number, which is unique within the coordinator. */
        long call();
    }

    /** A call to an endpoint. The caller reports the response together with the call itself. */
    sealed interface EndpointCall extends PromotionAction {
        /** Returns the called endpoint. */
        EndpointName endpoint();

        /** Returns the term that the endpoint should promise or become primary of. */
        Term term();

        /** Returns the monotonic time read before the call was sent. */
        Duration sentAt();
    }

    /**
     * Request to acquire the lease {@code coordinators/<group>}. It also succeeds if the holder already has the lease.
     *
     * @param call call number
     * @param holder name of the coordinator, unique to each instance
     * @param ttl time to live of the lease
     */
    record AcquireLease(long call, String holder, Duration ttl) implements PlatformCall {}

    /**
     * Request to renew the lease.
     *
     * @param call call number
     * @param fencingToken fencing token of the lease
     */
    record RenewLease(long call, long fencingToken) implements PlatformCall {}

    /**
     * Request to release the lease. The coordinator ignores the result.
     *
     * @param call call number
     * @param fencingToken fencing token of the lease
     */
    record ReleaseLease(long call, long fencingToken) implements PlatformCall {}

    /**
     * Request to read the group record.
     *
     * @param call call number
     */
    record ReadRecord(long call) implements PlatformCall {}

    /**
     * Request to replace the group record if it still has the expected revision.
     *
     * @param call call number
     * @param record the new record
     * @param expectedRevision revision of the record to replace
     */
    record WriteRecord(long call, GroupRecord record, long expectedRevision) implements PlatformCall {}

    /**
     * Request to seal the endpoint for a term. A sealed endpoint has promised the term: it starts no transaction and
     * accepts no promotion of an earlier term. Transactions that are already open may still commit.
     *
     * @param endpoint the endpoint to seal
     * @param term the term to promise
     * @param sentAt monotonic time read before the call was sent
     */
    record Seal(EndpointName endpoint, Term term, Duration sentAt) implements EndpointCall {}

    /**
     * Request to make the endpoint the primary of a new term.
     *
     * @param endpoint the candidate
     * @param term the new term
     * @param startPosition log position of the last entry before the term; the endpoint discards later entries
     * @param sentAt monotonic time read before the call was sent
     */
    record Promote(EndpointName endpoint, Term term, long startPosition, Duration sentAt) implements EndpointCall {}

    /**
     * Request to call {@link PromotionCoordinator#tick} at a monotonic time. It replaces any earlier request.
     *
     * @param at monotonic time of the call
     */
    record WakeAt(Duration at) implements PromotionAction {}

    /**
     * Notice that the coordinator has finished and ignores further events.
     *
     * @param outcome result of the run
     * @param before the first group record that the coordinator read
     * @param after the latest group record known to the coordinator
     */
    record Finished(PromotionOutcome outcome, Optional<GroupRecord> before, Optional<GroupRecord> after)
            implements PromotionAction {}
}
