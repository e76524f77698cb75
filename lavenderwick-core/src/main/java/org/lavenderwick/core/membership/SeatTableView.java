package org.lavenderwick.core.membership;

import java.util.Set;

import org.lavenderwick.core.membership.SeatAction.WriteTable;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * What a process knows about the seat table: the newest table from any source, and the state last read from the
 * platform, on which the next write is based.
 */
final class SeatTableView {

    private SeatTable newest = SeatTable.empty();
    private SeatTable lastRead;
    private long revision;
    private Set<DaemonName> liveDaemons = Set.of();
    private SeatTable proposal;

    SeatTable newest() {
        return newest;
    }

    /** Keeps the table if it is newer than every table seen before. Returns whether it is. */
    boolean updateNewest(SeatTable table) {
        boolean newer = table.version() > newest.version();
        if (newer) {
            newest = table;
        }
        return newer;
    }

    /** Returns whether the newest table has at most one seat in the failure domain. */
    boolean hasAtMostOneSeatIn(FailureDomain domain) {
        return newest.seatsIn(domain).size() <= 1;
    }

    void onRead(SeatTable table, long tableRevision, Set<DaemonName> live) {
        lastRead = table;
        revision = tableRevision;
        liveDaemons = Set.copyOf(live);
    }

    /** Returns whether the table was read and not discarded since. */
    boolean hasRead() {
        return lastRead != null;
    }

    /** Discards the table that was read, so that it has to be read again before the next write. */
    void discardRead() {
        lastRead = null;
    }

    /** Returns the table that was read last, or null if it was discarded. */
    SeatTable lastRead() {
        return lastRead;
    }

    Set<DaemonName> liveDaemons() {
        return liveDaemons;
    }

    /** Returns a write that adds or replaces the given seat in the table that was read. */
    WriteTable writeWith(Seat seat) {
        proposal = lastRead.with(seat, nextVersion());
        return new WriteTable(proposal, revision);
    }

    /** Returns a write that removes the given seat from the table that was read. */
    WriteTable writeWithout(SeatId seat) {
        proposal = lastRead.without(seat, nextVersion());
        return new WriteTable(proposal, revision);
    }

    /** Returns the table that the last write proposed. */
    SeatTable proposal() {
        return proposal;
    }

    private long nextVersion() {
        return Math.max(lastRead.version(), newest.version()) + 1;
    }
}
