package org.lavenderwick.core.membership;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A seat and its current holder.
 *
 * @param number number of the seat within its failure domain, from 1
 * @param failureDomain the failure domain of the seat and of its holder
 * @param daemon name of the daemon that holds the seat
 * @param incarnation number that distinguishes successive processes of the daemon
 * @param address IP address and port of the holder's peer service
 * @param leaving whether the holder is shutting down
 */
public record Seat(
        int number, FailureDomain failureDomain, DaemonName daemon, long incarnation, String address, boolean leaving) {

    /** Validates the number and the address. */
    public Seat {
        checkArgument(number >= 1, "seat number is below 1: %s", number);
        checkArgument(!address.isBlank(), "address is blank");
    }

    /** Returns the identity of the seat. */
    public SeatId id() {
        return SeatId.of(failureDomain, number);
    }

    /** Returns whether the given process holds the seat. */
    public boolean isHeldBy(DaemonName name, long processIncarnation) {
        return daemon.equals(name) && incarnation == processIncarnation;
    }

    /** Returns a copy of this seat that is marked as leaving. */
    public Seat asLeaving() {
        return new Seat(number, failureDomain, daemon, incarnation, address, true);
    }
}
