package org.lavenderwick.core.membership;

import java.util.concurrent.atomic.AtomicReference;

/** The newest seat table that this process has installed. Thread-safe; each read is a single volatile read. */
public final class SeatTableHolder {

    private final AtomicReference<Owners> current = new AtomicReference<>(Owners.of(SeatTable.empty()));

    /** Installs a table if its version is newer than that of the installed one. Returns whether it was installed. */
    public boolean install(SeatTable table) {
        Owners next = Owners.of(table);
        Owners previous =
                current.getAndUpdate(installed -> installed.table().version() < table.version() ? next : installed);
        return previous.table().version() < table.version();
    }

    /** Returns the owners of database groups under the installed table. */
    public Owners owners() {
        return current.get();
    }

    /** Returns the installed table, which is empty until the first one is installed. */
    public SeatTable table() {
        return current.get().table();
    }
}
