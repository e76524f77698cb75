package org.lavenderwick.core.membership;

import java.util.Comparator;

import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identity of a seat. It outlives the daemons that hold the seat one after another.
 *
 * @param failureDomain the failure domain of the seat
 * @param number number of the seat within its failure domain, from 1
 */
public record SeatId(FailureDomain failureDomain, int number) implements Comparable<SeatId> {

    private static final Comparator<SeatId> ORDER =
            Comparator.comparing(SeatId::failureDomain).thenComparingInt(SeatId::number);

    /** Checks that the number is positive. */
    public SeatId {
        checkArgument(number >= 1, "seat number is below 1: %s", number);
    }

    /** Returns the seat with the given number in the given failure domain. */
    public static SeatId of(FailureDomain failureDomain, int number) {
        return new SeatId(failureDomain, number);
    }

    /** Returns the name of the platform lease that the holder of the seat renews. */
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
