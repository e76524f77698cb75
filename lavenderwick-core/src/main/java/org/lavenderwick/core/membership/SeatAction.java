package org.lavenderwick.core.membership;

import java.time.Duration;

/**
 * What the caller of {@link SeatClaim} or {@link DeadSeatRemoval} performs next. Each action says which event reports
 * its answer; actions without one need no report.
 */
public sealed interface SeatAction {

    /** Read {@code membership/seats} and the host list; report with {@code onRead} or {@code onReadFailed}. */
    record ReadTable() implements SeatAction {}

    /**
     * Acquire the platform lease of a seat; report with {@code onLease}.
     *
     * @param seat the seat, whose {@link SeatId#leaseName()} is the name of the lease
     * @param ttl time to live of the lease
     */
    record AcquireLease(SeatId seat, Duration ttl) implements SeatAction {}

    /**
     * Renew the lease of a seat that was acquired before; report with {@code onLease}.
     *
     * @param seat the seat
     */
    record RenewLease(SeatId seat) implements SeatAction {}

    /**
     * Give the lease of a seat back.
     *
     * @param seat the seat
     */
    record ReleaseLease(SeatId seat) implements SeatAction {}

    /**
     * Write {@code membership/seats} by compare-and-swap; report with {@code onWrite}.
     *
     * @param table the new table
     * @param expectedRevision revision that the key must still have
     */
    record WriteTable(SeatTable table, long expectedRevision) implements SeatAction {}

    /**
     * Install a table that is newer than all others seen so far, and push it to peers.
     *
     * @param table the table
     */
    record InstallTable(SeatTable table) implements SeatAction {}

    /**
     * Send the newest table to the former holder of a seat, which may still be alive.
     *
     * @param address peer address of the former holder
     */
    record NotifyFormerHolder(String address) implements SeatAction {}

    /**
     * The daemon may from now on use the connection shares of the seat.
     *
     * @param seat the seat
     */
    record StartUsing(Seat seat) implements SeatAction {}

    /**
     * The daemon must close the connections of the seat's shares and do no more work as an owner.
     *
     * @param seat the seat
     */
    record StopUsing(Seat seat) implements SeatAction {}
}
