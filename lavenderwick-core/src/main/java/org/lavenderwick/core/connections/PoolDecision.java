package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.Optional;

/** What to do for a request that needs a connection. */
public sealed interface PoolDecision {

    /**
     * Use this idle connection, which now belongs to the request until it is released.
     *
     * @param connection id of the connection
     * @param checkFirst whether a check call must succeed on it before use; report a failed check by releasing it as
     *     {@link ReleaseState#TIMED_OUT} or {@link ReleaseState#BROKEN} and acquire again
     */
    record Use(long connection, boolean validateFirst) implements PoolDecision {}

    /**
     * Open a connection and report {@code opened} or {@code openFailed}; the request waits and acquires again then.
     *
     * @param connection id of the connection to open
     * @param purpose what it is for
     */
    record Open(long connection, ConnectionPurpose purpose) implements PoolDecision {}

    /**
     * Wait for a connection to come back.
     *
     * @param retryAt when an open may be tried again after a failed one; empty if only another event helps
     */
    record Wait(Optional<Duration> retryAt) implements PoolDecision {}
}
