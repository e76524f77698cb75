package org.lavenderwick.core.propagation;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The rule by which a daemon may tell a caller that something is not in the configuration. Callers give up for good on
 * such an answer, so it needs content of which the daemon knows that it was the newest a short time ago. Otherwise the
 * caller gets a refusal that it may retry, since the configuration may have been extended meanwhile.
 *
 * <p>Answers this pattern: a daemon has lost the store and all daemons that have it, and serves what it knows.
 */
public final class DenialRule {

    /**
     * Part of the maximum change delay that the content may be old. The rest is for a configuration that the control
     * thread has passed on and the traffic thread has not installed yet.
     */
    private static final double MAX_AGE_FACTOR = 0.8;

    private final Duration maxAge;

    private DenialRule(Duration maxAge) {
        this.maxAge = maxAge;
    }

    /**
     * Returns the rule.
     *
     * @param maxChangeDelay time within which a change of the configuration must be in force
     * @throws IllegalArgumentException if the time is not positive
     */
    public static DenialRule of(Duration maxChangeDelay) {
        checkArgument(
                !maxChangeDelay.isNegative() && !maxChangeDelay.isZero(),
                "maximum change delay is %s, expected a positive duration",
                maxChangeDelay);
        return new DenialRule(Duration.ofNanos((long) (maxChangeDelay.toNanos() * MAX_AGE_FACTOR)));
    }

    /**
     * Returns whether a daemon with the given content may deny that something exists.
     *
     * @param discardedUntil monotonic time until which nothing that the daemon learned counts, because its host may
     *     have been suspended since then and the clock may not have counted that time
     */
    public boolean permits(ContentStatus content, Duration discardedUntil, Duration now) {
        return content.isKnown()
                && content.currentAt().compareTo(discardedUntil) > 0
                && content.age(now).compareTo(maxAge) <= 0;
    }
}
