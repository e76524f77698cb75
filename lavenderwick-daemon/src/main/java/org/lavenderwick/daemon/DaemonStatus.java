package org.lavenderwick.daemon;

import java.util.List;
import java.util.Optional;

import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.group.GroupReport;

/**
 * State of a daemon for operators.
 *
 * @param daemon name of the daemon
 * @param failureDomain where it stands
 * @param incarnation number of this process
 * @param version version of the program
 * @param ready whether it serves callers
 * @param drain how far a drain has come
 * @param requestsInFlight requests and transactions that have not ended
 * @param configurationVersion version of the configuration in force, 0 for none
 * @param seatTableVersion version of the seat table in force, 0 for none
 * @param seat the seat whose connection shares it uses
 * @param peerConnections open connections to other daemons
 * @param groups the database groups that it owns
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
