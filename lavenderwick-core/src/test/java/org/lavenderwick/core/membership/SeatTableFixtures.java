package org.lavenderwick.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/** Seat tables for tests. */
final class SeatTableFixtures {

    private SeatTableFixtures() {}

    static FailureDomain domain(int number) {
        return FailureDomain.of("domain-" + number);
    }

    static Seat seat(int domain, int number) {
        String name = domain + "-" + number;
        return new Seat(number, domain(domain), DaemonName.of(name), 1, "127.0." + domain + "." + number + ":1", false);
    }

    /** Returns a table with the given number of seats in each of the failure domains 1 to {@code domains}. */
    static SeatTable of(int domains, int seatsPerDomain) {
        List<Seat> seats = new ArrayList<>();
        for (int domain = 1; domain <= domains; domain++) {
            for (int number = 1; number <= seatsPerDomain; number++) {
                seats.add(seat(domain, number));
            }
        }
        return new SeatTable(1, seats);
    }
}
