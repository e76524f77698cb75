package org.lavenderwick.core.failover;

import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;

/** The changes that one failover makes to the term of its group in the term record. Confined to one thread. */
final class TermRecordEditor {

    private final GroupName group;
    private final FleetStore store;
    private final TermRecordStore records;
    private TermRecordStore.Versioned stored = TermRecordStore.Versioned.NONE;
    private Set<Long> leasesToRevoke = Set.of();
    private long fencingToken;

    TermRecordEditor(GroupName group, FleetStore store) {
        this.group = group;
        this.store = store;
        this.records = TermRecordStore.of(store);
    }

    /** Sets the fencing token of the failover, before anything is read or written. */
    void fenceWith(long token) {
        fencingToken = token;
    }

    /** Returns the revision of the record that was read or written last. */
    long revision() {
        return stored.revision();
    }

    /** Returns the membership of the group in the record that was read or written last. */
    GroupMembership membership() {
        return stored.record().membership(group);
    }

    /** Reads the term of the group; empty if the record is not from the era of the fencing token. */
    Either<Failure, Optional<GroupTerm>> read() {
        return records.read().peek(read -> stored = read).map(read -> read.group(group, fencingToken));
    }

    /**
     * Records the closed term, after {@link #read}, and puts the record under a new lease. If the failover closed the
     * term already, but the response to its write was lost, the record stays as it is.
     *
     * @param found the term as it was read
     */
    Either<Failure, Long> close(GroupTerm found) {
        TermRecord record = stored.record();
        if (found.phase() != TermPhase.OPEN && found.fencingToken() == fencingToken) {
            leasesToRevoke = record.leasesToRevoke();
            return Either.right(stored.revision());
        }
        return store.grantLease(TermLease.TIME_TO_LIVE).flatMap(lease -> {
            TermPhase phase = found.phase() == TermPhase.PROMOTING ? TermPhase.PROMOTING : TermPhase.CLOSING;
            GroupTerm closing = found.withPhase(phase, found.primary(), fencingToken);
            TermRecord next = record.withLease(lease).with(group, closing);
            leasesToRevoke = next.leasesToRevoke();
            return write(next);
        });
    }

    /** Revokes the leases under which the record may have proven the closed term. */
    Either<Failure, Long> revokeLeases() {
        for (long lease : leasesToRevoke) {
            Either<Failure, Long> revoked = store.revokeLease(lease);
            if (revoked.isLeft()) {
                return revoked;
            }
        }
        return Either.right(revision());
    }

    /**
     * Records a candidate and the highest term that the next request for its promotion may begin.
     *
     * @return whether the record still had the fencing token of this failover; otherwise it is unchanged
     */
    Either<Failure, Boolean> recordRequest(EndpointName candidate, long requestedTerm) {
        return change(found ->
                found.withPhase(TermPhase.PROMOTING, candidate, fencingToken).withRequestedTerm(requestedTerm));
    }

    /**
     * Opens a term.
     *
     * @return whether the record still had the fencing token of this failover; otherwise it is unchanged
     */
    Either<Failure, Boolean> open(EndpointName primary, long term) {
        return change(found -> GroupTerm.open(primary, term, fencingToken));
    }

    private Either<Failure, Boolean> change(UnaryOperator<GroupTerm> change) {
        return read().flatMap(current -> {
            GroupTerm found = current.orElse(null);
            if (found == null || found.fencingToken() != fencingToken) {
                return Either.right(false);
            }
            TermRecord record = stored.record();
            return write(record.withoutRevokedLeases(leasesToRevoke).with(group, change.apply(found)))
                    .map(revision -> true);
        });
    }

    private Either<Failure, Long> write(TermRecord next) {
        return records.write(next, stored.revision())
                .peek(revision -> stored = new TermRecordStore.Versioned(next, revision));
    }
}
