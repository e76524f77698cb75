package org.lavenderwick.core.configuration;

import java.time.Duration;

import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of a rank, which is a priority class of the requests to a service.
 *
 * @param name the name of the rank
 * @param target response time within which requests should be served
 * @param worth relative value of serving one request within the target, at least 1
 * @param floorShare fraction of the capacity, from 0 to 1, reserved for the rank when other ranks overload the service
 */
public record RankSettings(RankName name, Duration target, int worth, double floorShare) {

    /** Validates the target, the worth and the floor share. */
    public RankSettings {
        checkArgument(!target.isNegative() && !target.isZero(), "target of rank %s is not positive", name);
        checkArgument(worth >= 1, "worth of rank %s is below 1", name);
        checkArgument(floorShare >= 0 && floorShare <= 1, "floor share of rank %s is outside 0 to 1", name);
    }
}
