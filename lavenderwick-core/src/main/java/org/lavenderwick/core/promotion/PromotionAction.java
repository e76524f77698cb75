package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** What a coordinator asks its caller to do. */
public sealed interface PromotionAction {

    /** A call to the platform. Its answer carries the number of the call. */
    sealed interface PlatformCall extends PromotionAction {
        /** Returns the number of the call, unique within the coordinator. */
        long call();
    }

    /** A call to an endpoint. Its answer carries the call. */
    sealed interface EndpointCall extends PromotionAction {
        /** Returns the endpoint to call. */
        EndpointName endpoint();

        /** Returns the term that the endpoint is to promise or to serve. */
        Term term();

        /** Returns the monotonic time before the call was sent. */
        Duration sentAt();
    }

    /**
     * Acquire the lease {@code coordinators/<group>} for the holder; succeeds also if the holder has it.
     *
     * @param call number of the call
     * @param holder name of the coordinator, unique for each instance
     * @param ttl time to live
     */
    record AcquireLease(long call, String holder, Duration ttl) implements PlatformCall {}

    /**
     * Renew the lease.
     *
     * @param call number of the call
     * @param fencingToken token of the lease
     */
    record RenewLease(long call, long fencingToken) implements PlatformCall {}

    /**
     * Give the lease back. No answer is expected.
     *
     * @param call number of the call
     * @param fencingToken token of the lease
     */
    record ReleaseLease(long call, long fencingToken) implements PlatformCall {}

    /**
     * Read the group record.
     *
     * @param call number of the call
     */
    record ReadRecord(long call) implements PlatformCall {}

    /**
     * Replace the group record if it still has the expected revision.
     *
     * @param call number of the call
     * @param record the new record
     * @param expectedRevision revision of the record that it replaces
     */
    record WriteRecord(long call, GroupRecord record, long expectedRevision) implements PlatformCall {}

    /**
     * Make the endpoint promise the term.
     *
     * @param endpoint the endpoint
     * @param term the term to promise
     * @param sentAt monotonic time before the call was sent
     */
    record Seal(EndpointName endpoint, Term term, Duration sentAt) implements EndpointCall {}

    /**
     * Make the endpoint primary of the term.
     *
     * @param endpoint the candidate
     * @param term the new term
     * @param startPosition position of the last entry before the term; later entries are dropped
     * @param sentAt monotonic time before the call was sent
     */
    record Promote(EndpointName endpoint, Term term, long startPosition, Duration sentAt) implements EndpointCall {}

    /**
     * Call {@link PromotionCoordinator#tick} at the given monotonic time. Replaces an earlier one.
     *
     * @param at the time
     */
    record WakeAt(Duration at) implements PromotionAction {}

    /**
     * The coordinator is done and takes no more events.
     *
     * @param outcome how it ended
     * @param before the first record it read
     * @param after the last record it knows
     */
    record Finished(PromotionOutcome outcome, Optional<GroupRecord> before, Optional<GroupRecord> after)
            implements PromotionAction {}
}
