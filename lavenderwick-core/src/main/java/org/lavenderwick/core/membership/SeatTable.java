package org.lavenderwick.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One version of the table of all seats in the fleet and their holders. Immutable. Lookups are linear in the number of
 * seats; traffic threads use the cached lookups of {@link Owners} instead.
 *
 * @param version the version number; the empty table before the first claim has version 0
 * @param seats the seats that have a holder, ordered by failure domain and number
 */
public record SeatTable(long version, List<Seat> seats) {

    /** Number of daemons per failure domain that watch the platform on behalf of the others. */
    public static final int WATCHERS_PER_DOMAIN = 2;

    private static final SeatTable EMPTY = new SeatTable(0, List.of());

    /** Sorts the seats, and checks that no seat occurs twice. */
    public SeatTable {
        checkArgument(version >= 0, "seat table version is negative: %s", version);
        seats = ImmutableList.sortedCopyOf(Comparator.comparing(Seat::id), seats);
        for (int index = 1; index < seats.size(); index++) {
            SeatId id = seats.get(index).id();
            checkArgument(!id.equals(seats.get(index - 1).id()), "seat %s occurs more than once", id);
        }
    }

    /** Returns the table of version 0, which has no seats. */
    public static SeatTable empty() {
        return EMPTY;
    }

    /** Returns the seat with the given identity, or empty if it has no holder. */
    public Optional<Seat> seat(SeatId id) {
        return seats.stream().filter(seat -> seat.id().equals(id)).findFirst();
    }

    /** Returns the first seat that the given daemon holds in any incarnation, or empty if it holds none. */
    public Optional<Seat> seatOf(DaemonName daemon) {
        return seats.stream().filter(seat -> seat.daemon().equals(daemon)).findFirst();
    }

    /** Returns the seats of a failure domain, ordered by number. */
    public List<Seat> seatsIn(FailureDomain failureDomain) {
        return seats.stream()
                .filter(seat -> seat.failureDomain().equals(failureDomain))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the failure domains that have at least one seat, in ascending order. */
    public Set<FailureDomain> failureDomains() {
        return seats.stream()
                .map(Seat::failureDomain)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    /** Returns the lowest seat number in the failure domain that has no holder. */
    public int lowestFreeNumber(FailureDomain failureDomain) {
        Set<Integer> taken = new TreeSet<>();
        seatsIn(failureDomain).forEach(seat -> taken.add(seat.number()));
        int number = 1;
        while (taken.contains(number)) {
            number++;
        }
        return number;
    }

    /**
     * Returns the seats of a failure domain whose holders watch the platform: the first {@value #WATCHERS_PER_DOMAIN}
     * seats by number that are not leaving.
     */
    public List<Seat> watchers(FailureDomain failureDomain) {
        return seatsIn(failureDomain).stream()
                .filter(seat -> !seat.leaving())
                .limit(WATCHERS_PER_DOMAIN)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns a copy of this table, with the given version, in which the given seat is added or replaced. */
    public SeatTable with(Seat seat, long newVersion) {
        Stream<Seat> others = seats.stream().filter(other -> !other.id().equals(seat.id()));
        return new SeatTable(newVersion, Stream.concat(others, Stream.of(seat)).toList());
    }

    /** Returns a copy of this table, with the given version, from which the given seat is removed. */
    public SeatTable without(SeatId id, long newVersion) {
        return new SeatTable(
                newVersion, seats.stream().filter(seat -> !seat.id().equals(id)).toList());
    }
}
