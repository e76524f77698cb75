package org.lavenderwick.core.membership;

import java.util.Set;

import org.lavenderwick.core.membership.SeatAction.WriteTable;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/** The newest seat table a process has seen, and the state of the platform it read as the base of its next write. */
final class SeatTableView {

    private SeatTable newest = SeatTable.empty();
    private SeatTable read;
    private long revision;
    private Set<DaemonName> liveDaemons = Set.of();
    private SeatTable proposal;

    SeatTable newest() {
        return newest;
    }

    /** Takes a table and returns whether it is newer than all before. */
    boolean adopt(SeatTable table) {
        boolean newer = table.version() > newest.version();
        if (newer) {
            newest = table;
        }
        return newer;
    }

    /** Returns whether the newest table has at most one seat in the failure domain. */
    boolean hasOneSeatIn(FailureDomain domain) {
        return newest.seatsIn(domain).size() <= 1;
    }

    void onRead(SeatTable table, long tableRevision, Set<DaemonName> live) {
        read = table;
        revision = tableRevision;
        liveDaemons = Set.copyOf(live);
    }

    /** Returns whether a table was read since the last write. */
    boolean isRead() {
        return read != null;
    }

    /** Makes a new read necessary before the next write. */
    void forget() {
        read = null;
    }

    SeatTable read() {
        return read;
    }

    Set<DaemonName> liveDaemons() {
        return liveDaemons;
    }

    WriteTable writeWith(Seat seat) {
        proposal = read.with(seat, nextVersion());
        return new WriteTable(proposal, revision);
    }

    WriteTable writeWithout(SeatId seat) {
        proposal = read.without(seat, nextVersion());
        return new WriteTable(proposal, revision);
    }

    /** Returns the table of the last write. */
    SeatTable proposal() {
        return proposal;
    }

    private long nextVersion() {
        return Math.max(read.version(), newest.version()) + 1;
    }
}
