package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.failover.FailoverHistory;
import org.lavenderwick.core.failover.FailoverOutcome;
import org.lavenderwick.core.failover.FailoverRun;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.FailoverTrigger;
import org.lavenderwick.core.failover.GroupDirectory;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.PromotionPort;
import org.lavenderwick.core.failover.PromotionRequests;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.Clocks;
import org.lavenderwick.core.time.MonotonicClock;

/** Runs each failover on a thread of its own, when {@link FailoverTrigger} says that one is due. */
final class FailoverManager {

    private static final Logger LOG = Logger.getLogger(FailoverManager.class);

    private final DaemonName daemon;
    private final FleetStore store;
    private final EndpointCodec codec;
    private final PromotionPort promotions;
    private final Clocks clocks;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final Function<GroupName, GroupDirectory> directories;
    private final FailoverTrigger trigger = FailoverTrigger.create();
    private final Map<GroupName, Thread> running = new HashMap<>();
    private final Set<GroupName> handedOver = ConcurrentHashMap.newKeySet();

    /**
     * Creates a manager that runs no failover.
     *
     * @param directories returns what this daemon knows of a group at present
     */
    FailoverManager(
            DaemonName daemon,
            FleetStore store,
            EndpointCodec codec,
            PromotionPort promotions,
            Clocks clocks,
            Function<GroupName, GroupDirectory> directories) {
        this.daemon = daemon;
        this.store = store;
        this.codec = codec;
        this.promotions = promotions;
        this.clocks = clocks;
        this.clock = clocks.monotonic();
        this.wallClock = clocks.wall();
        this.directories = directories;
    }

    /**
     * Starts a failover of a group if {@link FailoverTrigger} says so.
     *
     * @param turn how long this daemon waits for the daemons before it
     */
    void startIfDue(GroupName group, FailoverTrigger.Situation situation, Duration turn, Duration now) {
        trigger.due(group, situation, turn, running.containsKey(group), now)
                .ifPresent(reason -> start(group, situation.term(), reason));
    }

    private void start(GroupName group, GroupTerm term, String text) {
        LOG.infof("[failover] Starting a failover of %s because %s (primary %s).", group, text, term.primary());
        Thread thread = new Thread(() -> run(group, term, text), "failover");
        thread.setDaemon(true);
        running.put(group, thread);
        thread.start();
    }

    private void run(GroupName group, GroupTerm term, String reason) {
        try (EndpointControlClient endpoints = new EndpointControlClient(codec)) {
            FailoverRun run = new FailoverRun(
                    group,
                    () -> directories.apply(group),
                    term.primary(),
                    store,
                    endpoints,
                    promotions,
                    PromotionRequests.none(),
                    FailoverTimings.DEFAULTS);
            FailoverWaitPublisher waits = new FailoverWaitPublisher(daemon, group, store, clocks);
            String step = "";
            while (run.outcome() == FailoverOutcome.RUNNING) {
                if (!step.equals(run.stepName())) {
                    step = run.stepName();
                    LOG.infof("[failover] %s: step %s. %s", group, step, run.cause());
                }
                Duration pause = run.advance(clock.now());
                waits.update(run.awaiting(), run.lockLease());
                if (pause.toMillis() > 0) {
                    Thread.sleep(pause.toMillis());
                }
            }
            LOG.infof(
                    "[failover] %s ends as %s, candidate %s. %s",
                    group,
                    run.outcome(),
                    run.candidate().map(EndpointName::value).orElse("none"),
                    run.cause());
            if (run.outcome() == FailoverOutcome.HANDED_OVER) {
                handedOver.add(group);
            }
            if (run.outcome() == FailoverOutcome.DONE) {
                recordReplacement(group, term.primary(), run.candidate().orElseThrow(), reason);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a replacement to the failover history of its group. A failed write is not retried: the log has it too. */
    private void recordReplacement(GroupName group, EndpointName from, EndpointName to, String reason) {
        String key = FailoverHistory.key(group);
        FailoverHistory.Replacement replacement =
                new FailoverHistory.Replacement(wallClock.instant(), daemon, from, to, reason);
        store.read(key)
                .flatMap(entry -> {
                    FailoverHistory history = entry.map(found -> FailoverHistory.decode(found.value()))
                            .orElse(FailoverHistory.EMPTY);
                    long revision = entry.map(StoreEntry::revision).orElse(StoreWrite.ABSENT);
                    return store.write(new StoreWrite(
                            key, revision, history.with(replacement).encode(), StoreWrite.NO_LEASE));
                })
                .peekLeft(failure -> LOG.warnf(
                        "[failover] Could not write the failover history of %s: %s", group, failure.detail()));
    }

    /** Removes the threads of failovers that have ended, so that their groups can have new ones. */
    void removeFinished() {
        handedOver.removeIf(group -> {
            trigger.onHandedOver(group, clock.now());
            return true;
        });
        running.values().removeIf(thread -> !thread.isAlive());
    }
}
