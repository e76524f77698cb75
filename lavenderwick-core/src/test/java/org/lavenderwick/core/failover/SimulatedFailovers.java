package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.model.EndpointName;

/** The failovers of a simulated daemon, which it starts at random, or only to continue one that has stalled. */
final class SimulatedFailovers {

    /** Mean number of opportunities until a daemon starts a failover. */
    private static final int OPPORTUNITIES = 12;

    /** Time without progress after which another daemon continues a failover, as in {@link FailoverTrigger}. */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(3500);

    /** Time that the calls of one step take, if the steps of a failover follow each other without another delay. */
    private static final long STEP_MILLIS = 20;

    private final SimulatedDaemon daemon;
    private final Simulation simulation;
    private final RandomGenerator random;
    private final SimulatedStore store;
    private final SimulatedLinks links;
    private final LeaseEvidence evidence;
    private final Safeguards safeguards;
    private FailoverRun run;
    private boolean actsOnlyIfNeeded;
    private boolean isStepScheduled;
    private GroupTerm observedTerm;
    private Duration observedSince = Duration.ZERO;

    SimulatedFailovers(
            SimulatedDaemon daemon,
            Simulation simulation,
            RandomGenerator random,
            SimulatedStore store,
            SimulatedLinks links,
            LeaseEvidence evidence,
            Safeguards safeguards) {
        this.daemon = daemon;
        this.simulation = simulation;
        this.random = random;
        this.store = store;
        this.links = links;
        this.evidence = evidence;
        this.safeguards = safeguards;
    }

    /**
     * Makes the daemon continue stalled failovers, in place of replacing primaries at random, and execute the steps of
     * a failover without a delay of its own.
     */
    void actOnlyIfNeeded() {
        actsOnlyIfNeeded = true;
    }

    /** Starts a failover that replaces the given primary. */
    void start(EndpointName suspect) {
        run = new FailoverRun(
                SimulatedGroup.NAME,
                daemon::directory,
                suspect,
                store,
                links,
                links,
                safeguards.promotionRequests(),
                safeguards.failoverTimings());
    }

    /** Starts a failover if one is due, and executes the next step of the current one. */
    void advance() {
        if (isStepScheduled) {
            return;
        }
        if (run == null || run.outcome() != FailoverOutcome.RUNNING) {
            run = null;
            evidence.record().group(SimulatedGroup.NAME).filter(this::isDue).ifPresent(term -> start(term.primary()));
        }
        if (run != null && daemon.reachesStore()) {
            Duration pause = run.advance(daemon.clock());
            if (actsOnlyIfNeeded && run.outcome() == FailoverOutcome.RUNNING) {
                scheduleStep(pause);
            }
        }
    }

    private void scheduleStep(Duration pause) {
        isStepScheduled = true;
        simulation.schedule(
                STEP_MILLIS + pause.toMillis(),
                () -> daemon.whenRunning(() -> {
                    isStepScheduled = false;
                    advance();
                }));
    }

    /** Returns whether a failover starts now. The term is as the daemon knows it, which may be outdated. */
    private boolean isDue(GroupTerm term) {
        return (!actsOnlyIfNeeded || isStalled(term)) && random.nextInt(OPPORTUNITIES) == 0;
    }

    private boolean isStalled(GroupTerm term) {
        if (!term.equals(observedTerm)) {
            observedTerm = term;
            observedSince = daemon.clock();
        }
        return term.phase() != TermPhase.OPEN
                && daemon.clock().minus(observedSince).compareTo(STALL_TIMEOUT) >= 0
                && TermRecordStore.of(store)
                        .read()
                        .exists(read -> read.record()
                                .group(SimulatedGroup.NAME)
                                .filter(term::equals)
                                .isPresent());
    }
}
