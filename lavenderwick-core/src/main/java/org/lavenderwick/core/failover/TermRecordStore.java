package org.lavenderwick.core.failover;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/** Access to the term record in the store. A write takes effect only if the record is unchanged since it was read. */
public final class TermRecordStore {

    /**
     * A term record with its revision in the store.
     *
     * @param stored the record as it is stored, perhaps in an earlier era
     * @param revision the revision of the last write; {@link StoreWrite#ABSENT} if the record does not exist
     */
    public record Versioned(TermRecord stored, long revision) {

        static final Versioned NONE = new Versioned(TermRecord.EMPTY, StoreWrite.ABSENT);

        /** Returns the record that counts in the present era: an empty one if the stored one is from an earlier era. */
        public TermRecord record() {
            long era = EraRevision.era(revision);
            return stored.era() == era ? stored : TermRecord.empty(era);
        }

        /** Returns the term of a group; empty if the record does not contain it in the era of the fencing token. */
        Optional<GroupTerm> group(GroupName name, long fencingToken) {
            return record().era() == EraRevision.era(fencingToken) ? record().group(name) : Optional.empty();
        }
    }

    private final FleetStore store;

    private TermRecordStore(FleetStore store) {
        this.store = store;
    }

    /** Returns an instance for the given store. */
    public static TermRecordStore of(FleetStore store) {
        return new TermRecordStore(store);
    }

    /** Decodes the record in a store entry. Fails with {@code MALFORMED_REQUEST} if its text is invalid. */
    public static Either<Failure, Versioned> decode(StoreEntry entry) {
        return TermRecordCodec.decode(entry.value()).map(record -> new Versioned(record, entry.revision()));
    }

    /** Reads the record. Returns {@link TermRecord#EMPTY} if the entry does not exist. */
    public Either<Failure, Versioned> read() {
        return store.read(TermRecord.KEY)
                .flatMap(entry -> entry.map(TermRecordStore::decode).orElse(Either.right(Versioned.NONE)));
    }

    /**
     * Replaces the record. Fails with {@code VERSION_CONFLICT} if it has changed since it was read.
     *
     * @param expectedRevision the revision of the record that was read
     * @return the revision of the new record
     */
    public Either<Failure, Long> write(TermRecord newRecord, long expectedRevision) {
        return store.write(new StoreWrite(
                TermRecord.KEY, expectedRevision, TermRecordCodec.encode(newRecord), StoreWrite.NO_LEASE));
    }
}
