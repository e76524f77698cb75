package org.lavenderwick.core.failover;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Faults of a candidate around the moment at which it becomes the primary of its group. */
final class SimulatedCandidateFaults {

    /**
     * A partition that separates a new primary from the other endpoints and from some daemons, while others reach it.
     *
     * @param delayMillis time from the request for the promotion to the beginning of the partition
     * @param durationMillis time from the beginning to the end of the partition
     * @param hidesFromRequester whether the daemon that requested the promotion cannot reach the endpoint
     * @param otherDomains failure domains whose daemons cannot reach the endpoint
     */
    record PrimaryCut(long delayMillis, long durationMillis, boolean hidesFromRequester, Set<Integer> otherDomains) {

        static PrimaryCut draw(RandomGenerator random) {
            Set<Integer> domains = new HashSet<>();
            for (int domain = 0; domain < SimulatedGroup.DOMAINS; domain++) {
                if (random.nextInt(4) == 0) {
                    domains.add(domain);
                }
            }
            return new PrimaryCut(random.nextLong(1500), 500 + random.nextLong(7000), random.nextInt(3) > 0, domains);
        }
    }

    private final Simulation simulation;
    private Optional<PrimaryCut> nextCut = Optional.empty();
    private Optional<Long> nextCrashMillis = Optional.empty();
    private long latestBeganAt;

    SimulatedCandidateFaults(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Applies a partition to the next endpoint that is to be promoted. */
    void cutNext(PrimaryCut cut) {
        nextCut = Optional.of(cut);
    }

    /** Crashes the next endpoint that is to be promoted, a while after the request, for good. */
    void crashNext(long delayMillis) {
        nextCrashMillis = Optional.of(delayMillis);
    }

    /** Returns when the latest fault began, in simulated milliseconds; 0 if there was none. */
    long latestBeganAt() {
        return latestBeganAt;
    }

    /**
     * Called before a promotion is requested.
     *
     * @param requesterDomain the failure domain of the daemon that requests it
     * @param onHealed runs when a partition ends
     * @param crash crashes the candidate
     */
    void onPromotionRequested(SimulatedEndpoint candidate, int requesterDomain, Runnable onHealed, Runnable crash) {
        nextCrashMillis.ifPresent(delay -> simulation.schedule(delay, () -> {
            latestBeganAt = simulation.now();
            crash.run();
        }));
        nextCrashMillis = Optional.empty();
        if (nextCut.isPresent() && !candidate.separated) {
            cut(candidate, requesterDomain, nextCut.get(), onHealed);
            nextCut = Optional.empty();
        }
    }

    private void cut(SimulatedEndpoint candidate, int requesterDomain, PrimaryCut cut, Runnable onHealed) {
        simulation.schedule(cut.delayMillis(), () -> {
            latestBeganAt = simulation.now();
            candidate.separated = true;
            candidate.unreachableFrom.addAll(cut.otherDomains());
            if (cut.hidesFromRequester()) {
                candidate.unreachableFrom.add(requesterDomain);
            }
        });
        simulation.schedule(cut.delayMillis() + cut.durationMillis(), () -> {
            candidate.separated = false;
            candidate.unreachableFrom.clear();
            onHealed.run();
        });
    }
}
