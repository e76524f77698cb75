package org.lavenderwick.core.membership;

import java.util.Comparator;

import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The identity of a seat. A seat is a numbered slot in a failure domain to which database groups are assigned. It is
 * held by one daemon at a time, which is an owner of these groups. When another daemon takes over the seat, the
 * identity of the seat and the assignment of groups do not change.
 *
 * @param failureDomain the failure domain of the seat
 * @param number number of the seat within its failure domain, from 1
 */
public record SeatId(FailureDomain failureDomain, int number) implements Comparable<SeatId> {

    private static final Comparator<SeatId> ORDER =
            Comparator.comparing(SeatId::failureDomain).thenComparingInt(SeatId::number);

    /** Validates the number. */
    public SeatId {
        checkArgument(number >= 1, "seat number is below 1: %s", number);
    }

    /** Returns the identity of the seat with the given number in the given failure domain. */
    public static SeatId of(FailureDomain failureDomain, int number) {
        return new SeatId(failureDomain, number);
    }

    /** Returns the name of the platform lease that the holder of the seat keeps renewing. */
    public String leaseName() {
        return "seats/" + failureDomain + "/" + number;
    }

    @Override
    public int compareTo(SeatId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return failureDomain + "/" + number;
    }
}
