package org.lavenderwick.daemon.fleet;

import java.time.Duration;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.LeaseEvidence;
import org.lavenderwick.core.failover.TermLease;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.failover.TermRecordStore;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.MonotonicClock;

/** Keeps the evidence from the record of terms, and adds groups that the record lacks. Confined to one thread. */
final class TermKeeper {

    private static final Logger LOG = Logger.getLogger(TermKeeper.class);

    /** Bounds of the pause after a renewal without an answer; the longest is the life of evidence. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(300);

    private static final Duration LONGEST_PAUSE = FailoverTimings.DEFAULTS.evidenceMaxAge();

    private final FleetStore store;
    private final TermRecordStore records;
    private final MonotonicClock clock;
    private final LeaseEvidence evidence = LeaseEvidence.create();
    private Duration notBefore = Duration.ofSeconds(Long.MIN_VALUE);
    private Duration pause = FIRST_PAUSE;
    private long lapsed = StoreWrite.NO_LEASE;
    private Duration lapsedSince;

    TermKeeper(FleetStore store, MonotonicClock clock) {
        this.store = store;
        this.records = TermRecordStore.of(store);
        this.clock = clock;
    }

    LeaseEvidence evidence() {
        return evidence;
    }

    /** Takes the record as the store holds it. */
    void install(StoreEntry entry) {
        TermRecordStore.decode(entry)
                .peek(this::install)
                .peekLeft(failure -> LOG.warnf("[fleet] The record of terms is ignored: %s", failure.detail()));
    }

    private void install(TermRecordStore.Versioned terms) {
        evidence.install(terms.record(), terms.revision());
    }

    /**
     * Renews the lease of the record, which proves that the record is current.
     *
     * @param turn time for which this daemon leaves it to others to replace a lease that has ended
     */
    void renew(Duration turn) {
        long lease = evidence.record().lease();
        Duration now = clock.now();
        if (evidence.revision() == 0 || now.compareTo(notBefore) < 0) {
            return;
        }
        if (hasLapsed()) {
            takeTurn(now, turn);
            return;
        }
        Either<Failure, Long> renewed = store.renewLease(lease);
        if (renewed.isRight()) {
            evidence.onRenewed(lease, now);
            pause = FIRST_PAUSE;
        } else if (renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
            lapsed = lease;
            lapsedSince = now;
            takeTurn(now, turn);
        } else {
            notBefore = now.plus(pause);
            pause = pause.multipliedBy(2).compareTo(LONGEST_PAUSE) < 0 ? pause.multipliedBy(2) : LONGEST_PAUSE;
        }
    }

    /** Returns whether the lease of the record has ended, as far as this daemon knows. */
    boolean hasLapsed() {
        return evidence.revision() != 0 && evidence.record().lease() == lapsed;
    }

    private void takeTurn(Duration now, Duration turn) {
        if (now.minus(lapsedSince).compareTo(turn) >= 0) {
            // The next try comes as late as that of a daemon that is behind in turn.
            lapsedSince = now.plus(FIRST_PAUSE);
            replaceLapsedLease();
        }
    }

    private void replaceLapsedLease() {
        if (!refresh() || evidence.record().lease() != lapsed) {
            return;
        }
        store.grantLease(TermLease.TIME_TO_LIVE)
                .peek(lease -> write(evidence.record().replacingExpiredLease(lease)));
    }

    /** Adds a group with its primary to the record. */
    void add(GroupName group, EndpointName primary, long term) {
        if (!refresh() || evidence.record().group(group).isPresent()) {
            return;
        }
        TermRecord record = evidence.record();
        if (evidence.revision() == 0) {
            Either<Failure, Long> lease = store.grantLease(TermLease.TIME_TO_LIVE);
            if (lease.isLeft()) {
                return;
            }
            record = record.replacingExpiredLease(lease.get());
        }
        write(record.with(group, GroupTerm.open(primary, term, 0)));
    }

    /** Reads the record anew; returns false if the store does not answer. */
    private boolean refresh() {
        return records.read().peek(this::install).isRight();
    }

    private void write(TermRecord record) {
        records.write(record, evidence.revision())
                .peek(revision -> evidence.install(record, revision))
                .peekLeft(failure -> LOG.debugf("[fleet] The record of terms was not written: %s", failure.detail()));
    }
}
