package org.lavenderwick.core.membership;

import java.util.HashSet;
import java.util.Set;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/** Chooses which seat a claim tries next, and remembers the seats whose lease was refused. */
final class SeatCandidates {

    /** Seats of dead holders that a claim tries before it opens a new seat. */
    private static final int MAX_TAKEOVER_ATTEMPTS = 3;

    private final DaemonName daemon;
    private final FailureDomain domain;
    private final Set<SeatId> refused = new HashSet<>();

    SeatCandidates(DaemonName daemon, FailureDomain domain) {
        this.daemon = daemon;
        this.domain = domain;
    }

    /**
     * Returns the seat of an earlier incarnation of the daemon, else a seat whose holder is missing from the host list,
     * so that few groups move, else a new seat. Seats that were refused are left out.
     */
    SeatId next(SeatTable table, Set<DaemonName> liveDaemons) {
        for (Seat held : table.seatsIn(domain)) {
            if (held.daemon().equals(daemon) && !refused.contains(held.id())) {
                return held.id();
            }
        }
        if (refused.size() < MAX_TAKEOVER_ATTEMPTS) {
            for (Seat held : table.seatsIn(domain)) {
                if (!liveDaemons.contains(held.daemon()) && !refused.contains(held.id())) {
                    return held.id();
                }
            }
        }
        SeatId open = SeatId.of(domain, table.lowestFreeNumber(domain));
        while (refused.contains(open) || table.seat(open).isPresent()) {
            open = SeatId.of(domain, open.number() + 1);
        }
        return open;
    }

    void refuse(SeatId seat) {
        refused.add(seat);
    }

    void clear() {
        refused.clear();
    }
}
