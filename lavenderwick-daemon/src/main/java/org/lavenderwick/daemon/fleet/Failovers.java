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

/** Decides when a primary is replaced, and runs the replacements, each on a thread of its own. */
final class Failovers {

    /** Time for which the directory must contradict the record before that alone starts a failover. */
    private static final Duration CONTRADICTION = Duration.ofMillis(1500);

    /** Time without progress after which a failover that another daemon began is taken over. */
    private static final Duration STALLED = Duration.ofMillis(3500);

    /** Time after which a failover is taken over whose holder has lost the duty. */
    private static final Duration ABANDONED = Duration.ofMillis(200);

    /** Time between attempts of one daemon for one group. */
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(700);

    /** Head start of each daemon over the next one, so that one usually acts alone. */
    private static final Duration RANK_DELAY = Duration.ofMillis(40);

    /** Daemons beyond this place wait no longer than it. */
    private static final int MAX_RANK = 10;

    private static final Logger LOG = Logger.getLogger(Failovers.class);

    /** Why a primary is to be replaced, and since when. */
    private record Reason(String text, GroupTerm term, Duration since) {}

    private final DaemonName daemon;
    private final FleetStore store;
    private final EndpointCodec codec;
    private final PromotionPort promotions;
    private final MonotonicClock clock;
    private final InstantSource timeOfDay;
    private final Map<GroupName, Reason> reasons = new HashMap<>();
    private final Map<GroupName, Duration> attemptedAt = new HashMap<>();
    private final Map<GroupName, Thread> running = new HashMap<>();

    Failovers(DaemonName daemon, FleetStore store, EndpointCodec codec, PromotionPort promotions, Clocks clocks) {
        this.daemon = daemon;
        this.store = store;
        this.codec = codec;
        this.promotions = promotions;
        this.clock = clocks.monotonic();
        this.timeOfDay = clocks.wall();
    }

    /**
     * Starts a failover of a group if it is called for and this daemon's turn has come.
     *
     * @param votedOut whether a majority of the daemons, this one among them, cannot reach the primary
     * @param underway whether a daemon has the duty for the group
     */
    void consider(
            GroupName group,
            GroupTerm term,
            Map<EndpointName, EndpointEntry> members,
            boolean votedOut,
            boolean underway,
            int rank,
            Duration now) {
        Optional<String> text = reason(term, members, votedOut);
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
        Duration patience =
                patience(term, members, votedOut, underway).plus(RANK_DELAY.multipliedBy(Math.min(rank, MAX_RANK)));
        boolean recent = attemptedAt
                        .getOrDefault(group, Duration.ofSeconds(-10))
                        .plus(ATTEMPT_INTERVAL)
                        .compareTo(now)
                > 0;
        if (running.containsKey(group)
                || recent
                || reason.since().plus(patience).compareTo(now) > 0) {
            return;
        }
        attemptedAt.put(group, now);
        start(group, term, members, reason.text());
    }

    private static Optional<String> reason(GroupTerm term, Map<EndpointName, EndpointEntry> members, boolean votedOut) {
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

    private static Duration patience(
            GroupTerm term, Map<EndpointName, EndpointEntry> members, boolean votedOut, boolean underway) {
        if (term.phase() != TermPhase.OPEN) {
            return underway ? STALLED : ABANDONED;
        }
        EndpointEntry primary = members.get(term.primary());
        boolean contradiction = primary != null && !primary.draining() && !votedOut;
        return contradiction ? CONTRADICTION : Duration.ZERO;
    }

    private void start(GroupName group, GroupTerm term, Map<EndpointName, EndpointEntry> members, String text) {
        LOG.infof("[failover] Begins for %s, as %s (%s).", group, text, term.primary());
        Thread thread = new Thread(() -> run(group, term, members, text), "failover");
        thread.setDaemon(true);
        running.put(group, thread);
        thread.start();
    }

    private void run(GroupName group, GroupTerm term, Map<EndpointName, EndpointEntry> members, String reason) {
        try (EndpointOrders orders = new EndpointOrders(codec)) {
            FailoverRun run = FailoverRun.create(
                    group, members.values(), term.primary(), store, orders, promotions, FailoverTimings.DEFAULTS);
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
                record(group, term.primary(), run.candidate().orElseThrow(), reason);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a replacement to the trail of its group; the log has it in any case. */
    private void record(GroupName group, EndpointName from, EndpointName to, String reason) {
        String key = FailoverHistory.key(group);
        FailoverHistory.Replacement replacement =
                new FailoverHistory.Replacement(timeOfDay.instant(), daemon, from, to, reason);
        store.read(key)
                .flatMap(entry -> {
                    FailoverHistory trail = entry.map(found -> FailoverHistory.decode(found.value()))
                            .orElse(FailoverHistory.EMPTY);
                    long revision = entry.map(StoreEntry::revision).orElse(StoreWrite.ABSENT);
                    return store.write(new StoreWrite(
                            key, revision, trail.with(replacement).encode(), StoreWrite.NO_LEASE));
                })
                .peekLeft(failure ->
                        LOG.warnf("[failover] The trail of %s was not written: %s", group, failure.detail()));
    }

    /** Forgets the failovers that have ended. */
    void forgetEnded() {
        running.values().removeIf(thread -> !thread.isAlive());
    }
}
