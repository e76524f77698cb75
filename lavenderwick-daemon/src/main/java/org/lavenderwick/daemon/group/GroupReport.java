package org.lavenderwick.daemon.group;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.lavenderwick.core.billing.PaidLevel;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * State of a database group as reported to operators by one of its owners.
 *
 * @param group the group
 * @param lead whether this daemon is the lead owner, which is the first among the owners
 * @param term newest known term
 * @param primary newest known primary
 * @param openTransactions number of open transactions
 * @param queued number of queued requests by name of the rank
 * @param statementsThisMinute statements started in the current minute
 * @param paidConnections highest number of connections in a minute of the billing period so far
 * @param paidLoad highest number of statements in a minute of the billing period so far
 * @param endpoints state of each endpoint
 */
public record GroupReport(
        GroupName group,
        boolean lead,
        long term,
        Optional<EndpointName> primary,
        int openTransactions,
        Map<String, Integer> queued,
        long statementsThisMinute,
        int paidConnections,
        long paidLoad,
        List<EndpointReport> endpoints) {

    /**
     * State of an endpoint as known to the owner.
     *
     * @param name the endpoint
     * @param reachable false for a short time after the endpoint could not be reached
     * @param leaving whether a planned stop keeps new work from it
     * @param point end of its log in its last status; empty if none was received
     * @param limit concurrency limit
     * @param outstanding requests in flight
     * @param connections number of connections that are open or being opened
     * @param share number of connections that this owner may open
     */
    public record EndpointReport(
            EndpointName name,
            boolean reachable,
            boolean leaving,
            String point,
            int limit,
            int outstanding,
            int connections,
            int share) {}

    static GroupReport of(GroupPlacement placement, GroupContext context, int openTransactions) {
        Map<String, Integer> queued = new TreeMap<>();
        for (RankSettings rank : placement.service().ranks()) {
            queued.put(rank.name().value(), context.queue().size(rank.name()));
        }
        PaidLevel paid = context.usage().paidLevel();
        return new GroupReport(
                placement.group().name(),
                placement.position() == 0,
                context.knownPrimary().term().number(),
                context.knownPrimary().primary(),
                openTransactions,
                queued,
                context.usage().currentMinute().statements(),
                paid.connections(),
                paid.load(),
                context.targets().stream().map(GroupReport::endpoint).toList());
    }

    private static EndpointReport endpoint(EndpointTarget target) {
        return new EndpointReport(
                target.name(),
                target.connections().isReachable(),
                target.isLeaving(),
                target.connections()
                        .lastStatus()
                        .map(status -> status.point().toString())
                        .orElse(""),
                target.limit(),
                target.inFlight(),
                target.connections().poolState().connectionCount(),
                target.connections().poolState().share());
    }
}
