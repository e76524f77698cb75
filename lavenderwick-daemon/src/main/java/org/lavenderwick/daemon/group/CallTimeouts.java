package org.lavenderwick.daemon.group;

import java.time.Duration;

import com.google.common.collect.Comparators;

/** How long a call to an endpoint may take. */
final class CallTimeouts {
    /** For work that can be sent again: soon enough that another connection or endpoint can still serve it. */
    private static final Duration REPEATABLE = Duration.ofSeconds(1);

    /** For work that cannot: a missing answer means an unknown outcome, so slow answers are waited for. */
    private static final Duration ONCE = Duration.ofSeconds(5);

    private CallTimeouts() {}

    static Duration of(Work work, Duration now) {
        Duration remaining = work.deadline().minus(now);
        return Comparators.max(Duration.ofMillis(1), Comparators.min(remaining, work.repeatable() ? REPEATABLE : ONCE));
    }
}
