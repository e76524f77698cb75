package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.GroupMembershipTracker;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.failover.LeaseEvidence;
import org.lavenderwick.core.failover.RenewalPolicy;
import org.lavenderwick.core.failover.TermLease;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.failover.TermRecordStore;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Renews the lease of the term record to obtain evidence of the primaries, replaces the lease after it has expired, and
 * adds groups that the record lacks. {@link #renewLease} is confined to one thread, the other methods are thread-safe.
 */
final class TermRecordManager {

    private static final Logger LOG = Logger.getLogger(TermRecordManager.class);

    /** First delay after a renewal without a response. The delay doubles with each further one. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);

    /** Maximum delay after a renewal without a response; the time for which evidence is valid. */
    private static final Duration MAX_RETRY_DELAY = FailoverTimings.DEFAULTS.evidenceMaxAge();

    private final FleetStore store;
    private final TermRecordStore records;
    private final MonotonicClock clock;
    private final LeaseEvidence evidence = LeaseEvidence.create();
    private Duration nextRenewalAt = Duration.ofSeconds(Long.MIN_VALUE);
    private Duration retryDelay = MIN_RETRY_DELAY;
    private volatile TermRecord expiredRecord = TermRecord.EMPTY;
    private Duration replacementDelayStart;

    TermRecordManager(FleetStore store, MonotonicClock clock) {
        this.store = store;
        this.records = TermRecordStore.of(store);
        this.clock = clock;
    }

    /** Returns the evidence and the term record that it is based on. */
    LeaseEvidence evidence() {
        return evidence;
    }

    /** Installs the term record from its store entry. An invalid entry is ignored. */
    void install(StoreEntry entry) {
        TermRecordStore.decode(entry)
                .peek(this::install)
                .peekLeft(failure ->
                        LOG.warnf("[fleet] Ignoring the term record, which is invalid: %s", failure.detail()));
    }

    private void install(TermRecordStore.Versioned terms) {
        evidence.install(terms.stored(), terms.revision());
    }

    /** Discards the term record if it is from an earlier era of the store than the given one. */
    void enterEra(long era) {
        evidence.enterEra(era);
    }

    /**
     * Renews the lease of the term record, which proves that the record is current. Replaces the lease if it has
     * expired. Does nothing while a retry is delayed.
     *
     * @param replacementDelay time for which this daemon waits for others to replace an expired lease; empty if it does
     *     not replace it
     * @return whether the lease was renewed
     */
    boolean renewLease(Optional<Duration> replacementDelay) {
        TermRecord record = evidence.record();
        long lease = record.lease();
        Duration now = clock.now();
        if (lease == StoreWrite.NO_LEASE || now.compareTo(nextRenewalAt) < 0) {
            return false;
        }
        if (isLeaseExpired()) {
            replaceExpiredLeaseAfter(now, replacementDelay);
            return false;
        }
        Either<Failure, Long> renewed = store.renewLease(lease);
        if (renewed.isRight()) {
            evidence.onRenewed(lease, renewed.get(), now);
            retryDelay = MIN_RETRY_DELAY;
        } else if (renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
            expiredRecord = record;
            replacementDelayStart = now;
            replaceExpiredLeaseAfter(now, replacementDelay);
        } else {
            nextRenewalAt = now.plus(retryDelay);
            retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) < 0
                    ? retryDelay.multipliedBy(2)
                    : MAX_RETRY_DELAY;
        }
        return renewed.isRight();
    }

    /**
     * Records the confirmation of a renewal by another daemon. One that is too old to prove a primary still shows until
     * when the members of the groups were known to be complete.
     *
     * @param requestedAt when it was requested
     * @return whether it proves the current record for long enough to be of use
     */
    boolean onConfirmed(LeaseConfirmation confirmation, Duration requestedAt) {
        evidence.onConfirmed(confirmation, requestedAt);
        return RenewalPolicy.isUseful(confirmation, evidence.record());
    }

    /** Returns whether this daemon has found the lease of the current term record to be expired. */
    boolean isLeaseExpired() {
        TermRecord record = evidence.record();
        return record.lease() != StoreWrite.NO_LEASE && record.hasLease(expiredRecord.era(), expiredRecord.lease());
    }

    private void replaceExpiredLeaseAfter(Duration now, Optional<Duration> replacementDelay) {
        if (replacementDelay.isPresent() && now.minus(replacementDelayStart).compareTo(replacementDelay.get()) >= 0) {
            // Delays the next attempt of this daemon, so that other daemons can make theirs first.
            replacementDelayStart = now.plus(MIN_RETRY_DELAY);
            replaceExpiredLease();
        }
    }

    private void replaceExpiredLease() {
        if (!reload() || !isLeaseExpired()) {
            return;
        }
        store.grantLease(TermLease.TIME_TO_LIVE)
                .peek(lease -> write(evidence.record().replacingExpiredLease(lease)));
    }

    /**
     * Adds a group to the term record of the given era, unless the record already has the group.
     *
     * @param registered the endpoints of the group that are registered
     */
    void addGroup(GroupName group, GroupTerm term, long era, Set<EndpointName> registered) {
        if (!reload() || evidence.record().group(group).isPresent()) {
            return;
        }
        TermRecord record = evidence.record();
        if (record.era() != era) {
            return;
        }
        if (record.lease() == StoreWrite.NO_LEASE) {
            Either<Failure, Long> lease = store.grantLease(TermLease.TIME_TO_LIVE);
            if (lease.isLeft()) {
                return;
            }
            record = record.replacingExpiredLease(lease.get());
        }
        write(record.adding(group, term, evidence.inheritedMembership(group), registered));
    }

    /**
     * Changes the membership of a group, provided that the record is still the given one.
     *
     * @return whether the record was changed
     */
    boolean changeMembership(GroupName group, GroupMembershipTracker.Change change, TermRecord record, long revision) {
        TermRecord changed = record.withMembership(group, change.membership());
        if (change.revokesLeases()) {
            for (long earlier : record.leasesToRevoke()) {
                if (store.revokeLease(earlier).isLeft()) {
                    return false;
                }
            }
            changed = changed.withoutRevokedLeases(record.leasesToRevoke());
        }
        if (change.needsNewLease()) {
            Either<Failure, Long> lease = store.grantLease(TermLease.TIME_TO_LIVE);
            if (lease.isLeft()) {
                return false;
            }
            changed = changed.withLease(lease.get());
        }
        return write(changed, revision);
    }

    /** Reads the term record from the store; returns false if the call fails. */
    private boolean reload() {
        boolean read = records.read().peek(this::install).isRight();
        // Without an entry, only the answer itself shows the era.
        evidence.enterEra(store.era());
        return read;
    }

    private void write(TermRecord record) {
        write(record, evidence.revision());
    }

    private boolean write(TermRecord record, long expectedRevision) {
        return records.write(record, expectedRevision)
                .peek(revision -> evidence.install(record, revision))
                .peekLeft(failure -> LOG.debugf("[fleet] Could not write the term record: %s", failure.detail()))
                .isRight();
    }
}
