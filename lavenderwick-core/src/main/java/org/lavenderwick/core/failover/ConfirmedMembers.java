package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.EndpointName;

/**
 * The members of a group that a daemon knows, with the time at which the term record was last known to be current. They
 * count for {@link UnanimousEvidence} for a limited time, because the store may get other members without the daemon.
 *
 * @param members the members; never empty in a group that has been recorded
 * @param confirmedAt the latest time at which the term record proved that these were all members, or that it had fewer,
 *     on the daemon's monotonic clock
 */
public record ConfirmedMembers(Set<EndpointName> members, Duration confirmedAt) {

    /** Copies the set. */
    public ConfirmedMembers {
        members = ImmutableSet.copyOf(members);
    }

    /** Returns the time until which reports of these members may be requested as evidence. */
    public Duration validUntil(FailoverTimings timings) {
        return confirmedAt.plus(timings.membershipMaxAge());
    }

    /** Returns a copy whose confirmation counts as older, because the monotonic clock stopped for a while since. */
    public ConfirmedMembers olderBy(Duration suspended) {
        return suspended.isZero() ? this : new ConfirmedMembers(members, confirmedAt.minus(suspended));
    }
}
