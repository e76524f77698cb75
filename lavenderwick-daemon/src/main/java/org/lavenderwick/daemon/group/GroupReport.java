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
 * State of an owned group for operators.
 *
 * @param group the group
 * @param lead whether this daemon is the lead owner
 * @param term newest term
 * @param primary newest primary
 * @param openTransactions number of open transactions
 * @param queued waiting work by rank
 * @param statementsThisMinute statements started in the running minute
 * @param paidConnections connections of the busiest minute so far
 * @param paidLoad statements of the busiest minute so far
 * @param endpoints the endpoints
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
     * State of an endpoint as its owner sees it.
     *
     * @param name the endpoint
     * @param reachable whether it answers
     * @param leaving whether it gets no new work
     * @param point end of its log when it last answered
     * @param limit concurrency limit
     * @param outstanding requests in flight
     * @param connections connections open or being opened
     * @param share connections that this owner may open
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
