package org.lavenderwick.daemon.fleet;

import java.time.Duration;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.TermEvidenceLease;
import org.lavenderwick.core.failover.TermLease;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.failover.TermRecordStore;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.time.MonotonicClock;

/** Keeps the evidence from the record of terms, and adds groups that the record lacks. Confined to one thread. */
final class TermKeeper {

    private static final Logger LOG = Logger.getLogger(TermKeeper.class);

    private final FleetStore store;
    private final TermRecordStore records;
    private final MonotonicClock clock;
    private final TermEvidenceLease evidence = TermEvidenceLease.create();

    TermKeeper(FleetStore store, MonotonicClock clock) {
        this.store = store;
        this.records = TermRecordStore.of(store);
        this.clock = clock;
    }

    TermEvidenceLease evidence() {
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

    /** Renews the lease of the record, which proves that the record is current. */
    void renew() {
        long lease = evidence.record().lease();
        if (evidence.revision() == 0) {
            return;
        }
        Duration sentAt = clock.now();
        Either<Failure, Long> renewed = store.renewLease(lease);
        if (renewed.isRight()) {
            evidence.renewed(lease, sentAt);
        } else if (renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
            replaceLapsedLease(lease);
        }
    }

    private void replaceLapsedLease(long lapsed) {
        if (!refresh() || evidence.record().lease() != lapsed) {
            return;
        }
        store.grantLease(TermLease.TIME_TO_LIVE)
                .peek(lease -> write(evidence.record().afterLapse(lease)));
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
            record = record.afterLapse(lease.get());
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
