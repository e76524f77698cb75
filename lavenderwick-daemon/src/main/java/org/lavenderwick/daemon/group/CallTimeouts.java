package org.lavenderwick.daemon.group;

import java.time.Duration;

import com.google.common.collect.Comparators;

/** Timeouts of calls to endpoints. */
final class CallTimeouts {
    /** Timeout for retryable work; short enough for a retry on another connection or endpoint. */
    private static final Duration RETRYABLE_CALL_TIMEOUT = Duration.ofSeconds(1);

    private CallTimeouts() {}

    /**
     * Returns the timeout of a call that runs the work: at most the time until the deadline of the work, and at least
     * 1 ms.
     *
     * @param work the work
     * @param now monotonic time
     * @param maxTimeout upper bound; work that is not retryable gets all of it, because its outcome is unknown if no
     *     response arrives
     */
    static Duration of(WorkRequest work, Duration now, Duration maxTimeout) {
        Duration remaining = work.deadline().minus(now);
        return Comparators.max(
                Duration.ofMillis(1),
                Comparators.min(
                        remaining,
                        work.isRetryable() ? Comparators.min(RETRYABLE_CALL_TIMEOUT, maxTimeout) : maxTimeout));
    }
}
