package org.lavenderwick.core.failover;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreWrite;

/** Reads the record of terms and changes it under the condition that it is still as it was read. */
final class TermRecordStore {

    private final FleetStore store;
    private TermRecord record;
    private long revision;

    TermRecordStore(FleetStore store) {
        this.store = store;
    }

    /** Returns the record as it was last read. */
    TermRecord record() {
        return record;
    }

    /** Reads the record and returns the term of a group in it. */
    Either<Failure, Optional<GroupTerm>> read(GroupName group) {
        return store.read(TermRecord.KEY)
                .flatMap(entry -> entry.isEmpty()
                        ? Either.right(Optional.empty())
                        : TermRecordCodec.decode(entry.get().value()).map(decoded -> {
                            record = decoded;
                            revision = entry.get().revision();
                            return decoded.group(group);
                        }));
    }

    /** Writes the next record in place of the one that was read. */
    Either<Failure, Long> write(TermRecord next) {
        return store.write(new StoreWrite(TermRecord.KEY, revision, TermRecordCodec.encode(next), StoreWrite.NO_LEASE));
    }
}
