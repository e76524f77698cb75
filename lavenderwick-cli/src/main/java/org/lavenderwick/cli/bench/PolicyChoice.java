package org.lavenderwick.cli.bench;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

import org.lavenderwick.daemon.group.Policies;

/** Policies that can be measured against each other. */
enum PolicyChoice {
    /** The policies of the fleet. */
    STANDARD,
    /** Reads only at the primary; otherwise the policies of the fleet. */
    PRIMARY_ONLY,
    /** First in first out over all ranks; otherwise the policies of the fleet. */
    FIFO,
    /** A fixed pool of connections and no spending limit; otherwise the policies of the fleet. */
    FIXED_POOL,
    /** All three baselines, with fixed concurrency limits. */
    BASELINE;

    /** Returns the choice with the given name on the command line. */
    static Optional<PolicyChoice> parse(String text) {
        return Arrays.stream(values())
                .filter(value -> value.label().equals(text))
                .findFirst();
    }

    /** Returns the name on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the policies for a daemon. */
    Policies policies() {
        Policies standard = Policies.standard();
        Policies baseline = Policies.baseline();
        return switch (this) {
            case STANDARD -> standard;
            case PRIMARY_ONLY -> standard.withRouting(baseline.routing());
            case FIFO -> standard.withQueue(baseline.queueFactory());
            case FIXED_POOL -> standard.withSizingAndSpending(baseline.sizing(), baseline.spendingFactory());
            case BASELINE -> baseline;
            default -> throw new IllegalStateException("unknown policy " + this);
        };
    }
}
