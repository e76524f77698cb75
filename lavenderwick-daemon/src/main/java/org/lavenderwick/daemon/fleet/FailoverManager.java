package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.failover.FailoverHistory;
import org.lavenderwick.core.failover.FailoverOutcome;
import org.lavenderwick.core.failover.FailoverRun;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.PromotionPort;
import org.lavenderwick.core.failover.TermPhase;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.Clocks;
import org.lavenderwick.core.time.MonotonicClock;

/** Decides when a primary must be replaced, and runs each failover on a thread of its own. */
final class FailoverManager {

    /** Time for which the recorded primary must be registered as a replica before that alone starts a failover. */
    private static final Duration CONTRADICTION_DELAY = Duration.ofMillis(1500);

    /** Time without progress after which this daemon tries to take over a failover whose lock is held. */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(3500);

    /** Time after which this daemon tries to take over an unfinished failover whose lock is not held. */
    private static final Duration TAKEOVER_DELAY = Duration.ofMillis(200);

    /** Minimum time between two failovers of a group that this daemon starts. */
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(700);

    /** Delay that each position among the live daemons adds, so that usually only one daemon starts a failover. */
    private static final Duration DELAY_PER_POSITION = Duration.ofMillis(40);

    /** Highest position that adds to the delay. */
    private static final int MAX_DELAYED_POSITION = 10;

    private static final Logger LOG = Logger.getLogger(FailoverManager.class);

    /** The reason to replace the primary of a term, and since when it has applied. */
    private record Reason(String text, GroupTerm term, Duration since) {}

    private final DaemonName daemon;
    private final FleetStore store;
    private final EndpointCodec codec;
    private final PromotionPort promotions;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final Map<GroupName, Reason> reasons = new HashMap<>();
    private final Map<GroupName, Duration> lastAttemptAt = new HashMap<>();
    private final Map<GroupName, Thread> running = new HashMap<>();

    FailoverManager(DaemonName daemon, FleetStore store, EndpointCodec codec, PromotionPort promotions, Clocks clocks) {
        this.daemon = daemon;
        this.store = store;
        this.codec = codec;
        this.promotions = promotions;
        this.clock = clocks.monotonic();
        this.wallClock = clocks.wall();
    }

    /**
     * Starts a failover of a group if there is a reason for it that has lasted long enough, unless this daemon already
     * runs one or has started one recently.
     *
     * @param term the current term of the group in the term record
     * @param members the endpoints of the group
     * @param votedOut whether this daemon and enough others have voted that they cannot reach the primary
     * @param locked whether a daemon holds the failover lock of the group
     * @param position the position of this daemon among the live daemons, from 0
     */
    void startIfDue(
            GroupName group,
            GroupTerm term,
            Map<EndpointName, EndpointEntry> members,
            boolean votedOut,
            boolean locked,
            int position,
            Duration now) {
        Optional<String> text = replacementReason(term, members, votedOut);
        if (text.isEmpty()) {
            reasons.remove(group);
            return;
        }
        Reason reason = reasons.get(group);
        if (reason == null
                || !reason.text().equals(text.get())
                || !reason.term().equals(term)) {
            reason = new Reason(text.get(), term, now);
            reasons.put(group, reason);
        }
        Duration delay = startDelay(term, members, votedOut, locked)
                .plus(DELAY_PER_POSITION.multipliedBy(Math.min(position, MAX_DELAYED_POSITION)));
        boolean recent = lastAttemptAt
                        .getOrDefault(group, Duration.ofSeconds(-10))
                        .plus(ATTEMPT_INTERVAL)
                        .compareTo(now)
                > 0;
        if (running.containsKey(group) || recent || reason.since().plus(delay).compareTo(now) > 0) {
            return;
        }
        lastAttemptAt.put(group, now);
        start(group, term, members, reason.text());
    }

    private static Optional<String> replacementReason(
            GroupTerm term, Map<EndpointName, EndpointEntry> members, boolean votedOut) {
        EndpointEntry primary = members.get(term.primary());
        if (members.isEmpty()) {
            return Optional.empty();
        } else if (term.phase() != TermPhase.OPEN) {
            return Optional.of("an earlier failover did not end");
        } else if (primary == null) {
            return Optional.of("the primary has left the directory");
        } else if (primary.draining()) {
            return Optional.of("the primary is leaving");
        } else if (votedOut) {
            return Optional.of("a majority of the daemons cannot reach the primary");
        } else if (primary.role() == EndpointRole.REPLICA) {
            return Optional.of("the primary has become a replica");
        }
        return Optional.empty();
    }

    private static Duration startDelay(
            GroupTerm term, Map<EndpointName, EndpointEntry> members, boolean votedOut, boolean locked) {
        if (term.phase() != TermPhase.OPEN) {
            return locked ? STALL_TIMEOUT : TAKEOVER_DELAY;
        }
        EndpointEntry primary = members.get(term.primary());
        boolean roleDiffers = primary != null && !primary.draining() && !votedOut;
        return roleDiffers ? CONTRADICTION_DELAY : Duration.ZERO;
    }

    private void start(GroupName group, GroupTerm term, Map<EndpointName, EndpointEntry> members, String text) {
        LOG.infof("[failover] Starting a failover of %s because %s (primary %s).", group, text, term.primary());
        Thread thread = new Thread(() -> run(group, term, members, text), "failover");
        thread.setDaemon(true);
        running.put(group, thread);
        thread.start();
    }

    private void run(GroupName group, GroupTerm term, Map<EndpointName, EndpointEntry> members, String reason) {
        try (EndpointControlClient endpoints = new EndpointControlClient(codec)) {
            FailoverRun run = FailoverRun.create(
                    group, members.values(), term.primary(), store, endpoints, promotions, FailoverTimings.DEFAULTS);
            String step = "";
            while (run.outcome() == FailoverOutcome.RUNNING) {
                if (!step.equals(run.stepName())) {
                    step = run.stepName();
                    LOG.infof("[failover] %s: step %s. %s", group, step, run.cause());
                }
                Duration pause = run.advance(clock.now());
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
        running.values().removeIf(thread -> !thread.isAlive());
    }
}
