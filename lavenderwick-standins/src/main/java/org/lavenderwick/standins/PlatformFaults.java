package org.lavenderwick.standins;

import java.util.Set;

import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Faults of the platform that are in force.
 *
 * @param availability whether it takes calls
 * @param delayMs time by which each call is slower, in milliseconds
 * @param lostAnswers probability that a write or a lease call gets no answer after it took effect
 * @param staleReads probability that a read returns the value before the newest one
 * @param silentBlocks source blocks n of addresses 127.0.n.x whose calls neither take effect nor get an answer
 * @param seed seed of the random decisions; a new seed restarts them
 */
public record PlatformFaults(
        Availability availability,
        long delayMs,
        double lostAnswers,
        double staleReads,
        Set<Integer> silentBlocks,
        long seed) {

    /** No fault. */
    public static final PlatformFaults NONE = new PlatformFaults(Availability.UP, 0, 0, 0, Set.of(), 0);

    /** Copies the set and checks the ranges. A field that is absent in JSON stands for no fault. */
    public PlatformFaults {
        availability = availability == null ? Availability.UP : availability;
        silentBlocks = silentBlocks == null ? Set.of() : silentBlocks;
        checkArgument(delayMs >= 0, "delay is negative: %s", delayMs);
        checkArgument(lostAnswers >= 0 && lostAnswers <= 1, "probability is outside 0 to 1: %s", lostAnswers);
        checkArgument(staleReads >= 0 && staleReads <= 1, "probability is outside 0 to 1: %s", staleReads);
        silentBlocks = ImmutableSet.copyOf(silentBlocks);
    }

    /** Returns these faults with another availability. */
    public PlatformFaults withAvailability(Availability changed) {
        return new PlatformFaults(changed, delayMs, lostAnswers, staleReads, silentBlocks, seed);
    }

    /** Returns these faults with another delay. */
    public PlatformFaults withDelayMs(long changed) {
        return new PlatformFaults(availability, changed, lostAnswers, staleReads, silentBlocks, seed);
    }

    /** Returns these faults with another probability of lost answers, decided from the given seed. */
    public PlatformFaults withLostAnswers(double changed, long changedSeed) {
        return new PlatformFaults(availability, delayMs, changed, staleReads, silentBlocks, changedSeed);
    }

    /** Returns these faults with other silent blocks. */
    public PlatformFaults withSilentBlocks(Set<Integer> changed) {
        return new PlatformFaults(availability, delayMs, lostAnswers, staleReads, changed, seed);
    }

    /** Whether the platform takes calls. */
    public enum Availability {
        /** It takes calls. */
        UP,
        /** It closes its port: open connections end and new ones are refused. */
        REFUSES,
        /** It accepts connections and calls, but neither runs nor answers them. */
        HANGS
    }
}
