package org.lavenderwick.core.failover;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The statement of a daemon that it has renewed a lease itself, made in response to another daemon's request. The other
 * daemon counts the age from the time at which it sent the request, so the time that the messages take only makes the
 * evidence look older than it is.
 *
 * @param era the era of the store in which the lease was renewed, as its ID may be given out again in a later one
 * @param lease the ID of the lease that was renewed
 * @param age time between sending the renewal and making this statement
 */
public record LeaseConfirmation(long era, long lease, Duration age) {

    /** Checks that the age is not negative, as it would make the evidence look newer than it is. */
    public LeaseConfirmation {
        checkArgument(!age.isNegative(), "age of a confirmation is negative: %s", age);
    }
}
