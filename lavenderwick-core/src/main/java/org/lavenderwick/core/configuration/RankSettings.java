package org.lavenderwick.core.configuration;

import java.time.Duration;

import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One rank of work of a service.
 *
 * @param name the name of the rank
 * @param target time within which a request should be answered
 * @param worth relative value of one request served within the target, at least 1
 * @param floorShare share of the capacity that the rank keeps during a flood of another rank, 0 to 1
 */
public record RankSettings(RankName name, Duration target, int worth, double floorShare) {

    /** Checks the ranges. */
    public RankSettings {
        checkArgument(!target.isNegative() && !target.isZero(), "target of rank %s is not positive", name);
        checkArgument(worth >= 1, "worth of rank %s is below 1", name);
        checkArgument(floorShare >= 0 && floorShare <= 1, "floor share of rank %s is outside 0 to 1", name);
    }
}
