package org.lavenderwick.daemon.group;

import java.time.Duration;

import com.google.common.collect.Comparators;

/** How long a call to an endpoint may take. */
final class CallTimeouts {
    /** For work that can be sent again: soon enough that another connection or endpoint can still serve it. */
    private static final Duration RETRYABLE_CALL_TIMEOUT = Duration.ofSeconds(1);

    private CallTimeouts() {}

    /**
     * Returns the timeout of a call for the work.
     *
     * @param work the work
     * @param now monotonic time
     * @param longest for work that cannot be sent again: a missing answer is an unknown outcome, so slow ones are
     *     waited for
     */
    static Duration of(WorkRequest work, Duration now, Duration longest) {
        Duration remaining = work.deadline().minus(now);
        return Comparators.max(
                Duration.ofMillis(1),
                Comparators.min(
                        remaining, work.isRetryable() ? Comparators.min(RETRYABLE_CALL_TIMEOUT, longest) : longest));
    }
}
