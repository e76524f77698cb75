package org.lavenderwick.core.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/** The selection of the seats that a claim tries to acquire. Excludes seats whose lease was refused. */
final class SeatCandidates {

    /** Number of refusals after which a claim no longer tries to take over seats of dead daemons. */
    private static final int MAX_TAKEOVER_ATTEMPTS = 3;

    /** Maximum size of the range from which a new seat is chosen; a failure domain has a few hundred daemons. */
    private static final int MAX_NEW_SEAT_RANGE = 256;

    private final DaemonName daemon;
    private final FailureDomain domain;
    private final RandomGenerator random;
    private final Set<SeatId> refused = new HashSet<>();

    SeatCandidates(DaemonName daemon, FailureDomain domain, RandomGenerator random) {
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
    }

    /**
     * Returns the seat to try next, without seats that were refused before. The order of preference is:
     *
     * <ol>
     *   <li>a seat that this daemon held in an earlier incarnation;
     *   <li>a seat whose holder is missing from the host list, because taking over a seat moves no groups;
     *   <li>a new seat, which is not in the table.
     * </ol>
     *
     * <p>In the last two cases, a seat whose lease the claim already holds is preferred.
     *
     * <p>Daemons that start at the same time see the same table and compete for the same new seats. A new seat is
     * therefore chosen at random from a range that starts at the lowest free number. The range has one number at first
     * and doubles with each refusal.
     *
     * @param leased the seat whose lease the claim holds, or null if there is none
     */
    SeatId next(SeatTable table, Set<DaemonName> liveDaemons, SeatId leased) {
        for (Seat held : table.seatsIn(domain)) {
            if (held.daemon().equals(daemon) && !refused.contains(held.id())) {
                return held.id();
            }
        }
        if (refused.size() < MAX_TAKEOVER_ATTEMPTS) {
            List<Seat> dead = table.seatsIn(domain).stream()
                    .filter(held -> !liveDaemons.contains(held.daemon()) && !refused.contains(held.id()))
                    .toList();
            if (dead.stream().anyMatch(held -> held.id().equals(leased))) {
                return leased;
            }
            if (!dead.isEmpty()) {
                // A random choice, because the successors of many lost daemons would otherwise all try the same seat.
                return dead.get(dead.size() == 1 ? 0 : random.nextInt(dead.size()))
                        .id();
            }
        }
        if (leased != null && table.seat(leased).isEmpty()) {
            return leased;
        }
        int range = Math.min(MAX_NEW_SEAT_RANGE, 1 << Math.min(refused.size(), Integer.SIZE - 2));
        SeatId newSeat = SeatId.of(domain, table.lowestFreeNumber(domain) + random.nextInt(range));
        while (refused.contains(newSeat) || table.seat(newSeat).isPresent()) {
            newSeat = SeatId.of(domain, newSeat.number() + 1);
        }
        return newSeat;
    }

    /** Excludes a seat from further selection, and returns the number of excluded seats. */
    int addRefused(SeatId seat) {
        refused.add(seat);
        return refused.size();
    }

    void clearRefused() {
        refused.clear();
    }
}
