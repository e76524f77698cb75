package org.lavenderwick.core.promotion;

import java.util.function.Consumer;

/** An in-memory platform that stores one group record and the lease of its coordinator. */
final class FakePlatform {

    record Versioned(GroupRecord record, long revision) {}

    private final boolean checksRevision;
    private final Consumer<GroupRecord> onWrite;
    private GroupRecord record;
    private long revision = 1;
    private String holder = "";
    private long token;
    private long leaseUntil;

    /**
     * Creates a platform that stores a record.
     *
     * @param record initial record
     * @param checksRevision whether a write fails if the record does not have the expected revision
     * @param onWrite called with each written record
     */
    FakePlatform(GroupRecord record, boolean checksRevision, Consumer<GroupRecord> onWrite) {
        this.record = record;
        this.checksRevision = checksRevision;
        this.onWrite = onWrite;
    }

    GroupRecord record() {
        return record;
    }

    Versioned read() {
        return new Versioned(record, revision);
    }

    /** Writes the record and returns the new revision, or 0 on a conflict. */
    long write(GroupRecord written, long expectedRevision) {
        if (checksRevision && expectedRevision != revision) {
            return 0;
        }
        record = written;
        revision++;
        onWrite.accept(written);
        return revision;
    }

    /** Acquires the lease and returns its fencing token, or 0 if another holder has the lease. */
    long acquire(String newHolder, long ttl, long now) {
        boolean free = now >= leaseUntil;
        if (!free && !holder.equals(newHolder)) {
            return 0;
        }
        token += free ? 1 : 0;
        holder = newHolder;
        leaseUntil = now + ttl;
        return token;
    }

    /** Renews the lease and returns its fencing token, or 0 if the lease has expired. */
    long renew(long renewed, long ttl, long now) {
        if (renewed != token || now >= leaseUntil) {
            return 0;
        }
        leaseUntil = now + ttl;
        return token;
    }

    long release(long released) {
        leaseUntil = released == token ? 0 : leaseUntil;
        return released;
    }
}
