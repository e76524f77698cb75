package org.lavenderwick.core.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/** Chooses which seat a claim tries next, and remembers the seats whose lease was refused. */
final class SeatCandidates {

    /** Seats of dead holders that a claim tries before it opens a new seat. */
    private static final int MAX_TAKEOVER_ATTEMPTS = 3;

    /** Largest number of new seats among which a claim chooses; a failure domain has some hundred daemons. */
    private static final int MAX_SPREAD = 256;

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
     * Returns the seat of an earlier incarnation of the daemon, else a seat whose holder is missing from the host list,
     * so that few groups move, else a new seat. Seats that were refused are left out. A new seat whose lease the
     * claim already has is kept while nobody else got it.
     *
     * <p>The first new seat tried has the lowest free number. After each refusal the choice is spread over twice as
     * many numbers, because daemons that start together all see the same table.
     *
     * @param leased the seat whose lease the claim has, or null
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
                // After the loss of many daemons their successors would all try the same one.
                return dead.get(dead.size() == 1 ? 0 : random.nextInt(dead.size()))
                        .id();
            }
        }
        if (leased != null && table.seat(leased).isEmpty()) {
            return leased;
        }
        int spread = Math.min(MAX_SPREAD, 1 << Math.min(refused.size(), Integer.SIZE - 2));
        SeatId open = SeatId.of(domain, table.lowestFreeNumber(domain) + random.nextInt(spread));
        while (refused.contains(open) || table.seat(open).isPresent()) {
            open = SeatId.of(domain, open.number() + 1);
        }
        return open;
    }

    /** Leaves a seat out from now on, and returns how many are left out. */
    int refuse(SeatId seat) {
        refused.add(seat);
        return refused.size();
    }

    void clear() {
        refused.clear();
    }
}
