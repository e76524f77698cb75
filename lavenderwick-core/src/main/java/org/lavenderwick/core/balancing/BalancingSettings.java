package org.lavenderwick.core.balancing;

import java.util.OptionalDouble;

/**
 * How statements are spread over the endpoints of a group.
 *
 * @param adaptive whether limits, ejection and the choice of the failure domain follow what is measured; otherwise
 *     limits are fixed, and the endpoint with the fewest statements in flight is chosen at any distance
 * @param pricePerMegabyte price of a megabyte between failure domains, in units of the value of one timely operation of
 *     the most urgent rank; empty if only latency decides
 */
public record BalancingSettings(boolean adaptive, OptionalDouble pricePerMegabyte) {

    /** Fixed limits and no choice of the failure domain. */
    public static final BalancingSettings STATIC = new BalancingSettings(false, OptionalDouble.empty());
}
