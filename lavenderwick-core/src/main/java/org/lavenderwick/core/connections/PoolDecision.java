package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.Optional;

/** The decision of a {@link ConnectionPoolState} for a request that needs a connection. */
public sealed interface PoolDecision {

    /**
     * Use an idle connection. It belongs to the request until it is released.
     *
     * @param connection id of the connection
     * @param validateFirst whether a validation call must succeed on the connection before use; if the call fails, the
     *     caller releases the connection as {@link ReleaseState#TIMED_OUT} or {@link ReleaseState#BROKEN} and acquires
     *     another one
     */
    record Use(long connection, boolean validateFirst) implements PoolDecision {}

    /**
     * Open a connection and report the result to {@link ConnectionPoolState#onOpened} or {@link
     * ConnectionPoolState#onOpenFailed}. The request waits for the result and then acquires again.
     *
     * @param connection id of the connection to open
     * @param purpose purpose of the connection
     */
    record Open(long connection, ConnectionPurpose purpose) implements PoolDecision {}

    /**
     * Wait until a connection is available.
     *
     * @param retryAt time at which the backoff ends and the request may acquire again; empty if the request must wait
     *     until the state of the pool or the spending policy changes
     */
    record Wait(Optional<Duration> retryAt) implements PoolDecision {}
}
