package org.lavenderwick.core.balancing;

import java.util.Map;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.EndpointName;

/**
 * What the balancing of one group has done since it was created.
 *
 * @param statements number of statements sent, by endpoint
 * @param rejections number of statements that were rejected because the endpoint was full, by endpoint
 * @param ejections number of ejections, by endpoint
 * @param limits current concurrency limit, by endpoint
 * @param departures number of reads sent to another failure domain although distance matters, by reason
 */
public record BalancingCounters(
        Map<EndpointName, Long> statements,
        Map<EndpointName, Long> rejections,
        Map<EndpointName, Long> ejections,
        Map<EndpointName, Integer> limits,
        Map<DepartureReason, Long> departures) {

    /** Copies the maps. */
    public BalancingCounters {
        statements = ImmutableMap.copyOf(statements);
        rejections = ImmutableMap.copyOf(rejections);
        ejections = ImmutableMap.copyOf(ejections);
        limits = ImmutableMap.copyOf(limits);
        departures = ImmutableMap.copyOf(departures);
    }
}
