package org.lavenderwick.core.membership;

import java.time.Duration;

/**
 * An action that {@link SeatClaim} or {@link DeadSeatRemoval} returns for its caller to perform. If the result has to
 * be reported, the description names the method to call.
 */
public sealed interface SeatAction {

    /**
     * Read of the key {@code membership/seats} and of the host list of the platform. Reported with {@code onRead} or
     * {@code onReadFailed}.
     */
    record ReadTable() implements SeatAction {}

    /**
     * Acquisition of the platform lease of a seat. Reported with {@code onLease}.
     *
     * @param seat the seat; its lease is named {@link SeatId#leaseName()}
     * @param ttl time to live of the lease
     */
    record AcquireLease(SeatId seat, Duration ttl) implements SeatAction {}

    /**
     * Renewal of the lease of a seat, which was acquired earlier. Reported with {@code onLease}.
     *
     * @param seat the seat
     */
    record RenewLease(SeatId seat) implements SeatAction {}

    /**
     * Release of the lease of a seat.
     *
     * @param seat the seat
     */
    record ReleaseLease(SeatId seat) implements SeatAction {}

    /**
     * Write of the key {@code membership/seats} by compare-and-swap. Reported with {@code onWrite}.
     *
     * @param table the new table
     * @param expectedRevision revision that the key must have for the write to succeed
     */
    record WriteTable(SeatTable table, long expectedRevision) implements SeatAction {}

    /**
     * Installation of a table that is newer than every table seen before, and its push to peers.
     *
     * @param table the table
     */
    record InstallTable(SeatTable table) implements SeatAction {}

    /**
     * Transmission of the newest table to the former holder of a seat, in case that daemon is still alive.
     *
     * @param address peer address of the former holder
     */
    record NotifyFormerHolder(String address) implements SeatAction {}

    /**
     * Permission for the daemon to use the connection shares of the seat from now on.
     *
     * @param seat the seat
     */
    record StartUsing(Seat seat) implements SeatAction {}

    /**
     * Order to close the connections of the seat's shares and to stop working as an owner.
     *
     * @param seat the seat
     */
    record StopUsing(Seat seat) implements SeatAction {}
}
