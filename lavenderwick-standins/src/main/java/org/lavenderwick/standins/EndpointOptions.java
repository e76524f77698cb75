package org.lavenderwick.standins;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timing of the endpoints of a group.
 *
 * @param connectTime time to open a connection
 * @param statementTime service time of one statement, and of a commit
 * @param slowdown share by which service gets slower for each waiting request a slot
 * @param lockTimeout longest wait for a row lock; then the transaction fails
 * @param silentSessionExpiry time after which an endpoint gives up a connection that has gone silent
 * @param clockAllowance difference of clocks that a replica adds to the age of its data
 * @param replicationTick interval at which replicas follow their primary
 */
public record EndpointOptions(
        Duration connectTime,
        Duration statementTime,
        double slowdown,
        Duration lockTimeout,
        Duration silentSessionExpiry,
        Duration clockAllowance,
        Duration replicationTick) {

    /** Timing like that of the operators' databases. */
    public static final EndpointOptions DEFAULT = new EndpointOptions(
            Duration.ofMillis(12),
            Duration.ofMillis(1),
            0.1,
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofMillis(50),
            Duration.ofMillis(5));

    /** Checks the ranges. */
    public EndpointOptions {
        checkArgument(!connectTime.isNegative(), "connect time is negative");
        checkArgument(!statementTime.isNegative(), "statement time is negative");
        checkArgument(slowdown >= 0, "slowdown is negative");
        checkArgument(!replicationTick.isNegative() && !replicationTick.isZero(), "replication tick is not positive");
    }

    /** Returns these options with other service times. */
    public EndpointOptions withTimes(Duration connect, Duration statement) {
        return new EndpointOptions(
                connect, statement, slowdown, lockTimeout, silentSessionExpiry, clockAllowance, replicationTick);
    }

    /** Returns these options with another bound of lock waits. */
    public EndpointOptions withLockTimeout(Duration changed) {
        return new EndpointOptions(
                connectTime, statementTime, slowdown, changed, silentSessionExpiry, clockAllowance, replicationTick);
    }

    /** Returns these options with another expiry of silent connections. */
    public EndpointOptions withSilentSessionExpiry(Duration changed) {
        return new EndpointOptions(
                connectTime, statementTime, slowdown, lockTimeout, changed, clockAllowance, replicationTick);
    }

    /** Returns these options with another interval of replication. */
    public EndpointOptions withReplicationTick(Duration changed) {
        return new EndpointOptions(
                connectTime, statementTime, slowdown, lockTimeout, silentSessionExpiry, clockAllowance, changed);
    }
}
