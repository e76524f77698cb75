package org.lavenderwick.daemon;

import java.util.List;
import java.util.Optional;

import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.group.GroupReport;

/**
 * The state of a daemon as reported to operators.
 *
 * @param daemon name of the daemon
 * @param failureDomain failure domain in which it runs
 * @param incarnation number that tells this process apart from earlier ones of the same name: its start time in
 *     milliseconds since the epoch
 * @param version version of the program
 * @param ready whether load balancers may send it requests
 * @param drain name of the {@link org.lavenderwick.core.drain.DrainState}
 * @param requestsInFlight number of requests and transactions that have not ended
 * @param configurationVersion version of the current configuration, 0 if there is none
 * @param seatTableVersion version of the current seat table, 0 if there is none
 * @param seat the seat whose connection shares it may use; empty if it may use none
 * @param peerConnections number of open connections to other daemons
 * @param groups reports on the database groups that it owns
 */
public record DaemonStatus(
        DaemonName daemon,
        FailureDomain failureDomain,
        long incarnation,
        String version,
        boolean ready,
        String drain,
        int requestsInFlight,
        long configurationVersion,
        long seatTableVersion,
        Optional<Seat> seat,
        int peerConnections,
        List<GroupReport> groups) {}
