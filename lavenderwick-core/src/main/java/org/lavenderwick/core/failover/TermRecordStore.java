package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/** Reads the record of terms and changes it under the condition that it is still as it was read. */
public final class TermRecordStore {

    /**
     * A record as the store holds it.
     *
     * @param record the terms
     * @param revision the revision at which the record was written; {@link StoreWrite#ABSENT} if it does not exist
     */
    public record Versioned(TermRecord record, long revision) {

        static final Versioned NONE = new Versioned(TermRecord.EMPTY, StoreWrite.ABSENT);
    }

    private final FleetStore store;

    private TermRecordStore(FleetStore store) {
        this.store = store;
    }

    /** Returns an instance that reads and writes one store. */
    public static TermRecordStore of(FleetStore store) {
        return new TermRecordStore(store);
    }

    /** Returns the record in an entry, or a failure if the entry cannot be read. */
    public static Either<Failure, Versioned> decode(StoreEntry entry) {
        return TermRecordCodec.decode(entry.value()).map(record -> new Versioned(record, entry.revision()));
    }

    /** Reads the record; an empty one stands for an entry that does not exist. */
    public Either<Failure, Versioned> read() {
        return store.read(TermRecord.KEY)
                .flatMap(entry -> entry.map(TermRecordStore::decode).orElse(Either.right(Versioned.NONE)));
    }

    /**
     * Writes a record in place of the one that was read.
     *
     * @param expectedRevision the revision of the record that was read
     * @return the revision of the new record
     */
    public Either<Failure, Long> write(TermRecord next, long expectedRevision) {
        return store.write(
                new StoreWrite(TermRecord.KEY, expectedRevision, TermRecordCodec.encode(next), StoreWrite.NO_LEASE));
    }
}
