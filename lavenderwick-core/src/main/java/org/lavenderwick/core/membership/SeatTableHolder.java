package org.lavenderwick.core.membership;

import java.util.concurrent.atomic.AtomicReference;

/** Holds the owners under the newest seat table that this process knows. Thread-safe; reads are one volatile read. */
public final class SeatTableHolder {

    private final AtomicReference<Owners> current = new AtomicReference<>(Owners.of(SeatTable.empty()));

    /** Installs a table if it is newer than the one in force, and returns whether it was. */
    public boolean install(SeatTable table) {
        Owners next = Owners.of(table);
        Owners previous = current.getAndUpdate(held -> held.table().version() < table.version() ? next : held);
        return previous.table().version() < table.version();
    }

    /** Returns the owners in force. */
    public Owners owners() {
        return current.get();
    }

    /** Returns the table in force. */
    public SeatTable table() {
        return current.get().table();
    }
}
