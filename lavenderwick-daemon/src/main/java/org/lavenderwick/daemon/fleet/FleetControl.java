package org.lavenderwick.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.collect.Maps;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.failover.FailoverRun;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.PromotionPort;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.failover.TermPhase;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.Clocks;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.FleetSnapshot;
import org.lavenderwick.daemon.session.Peer;
import org.lavenderwick.daemon.session.TrafficThread;

/**
 * The control thread: follows the store, keeps the evidence of terms and this daemon's entries, and starts failovers.
 * Tells the traffic thread what it knows.
 */
public final class FleetControl implements Runnable {

    /** Time between renewals of the lease of the record of terms; several fit into the life of evidence. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(300);

    /** Time between looks at what is due. */
    private static final Duration STEP = Duration.ofMillis(100);

    /** Life of the entry that counts this daemon among those that share connections. */
    private static final Duration HOST_LEASE = Duration.ofSeconds(6);

    /** Head start of each daemon over the next one where one suffices: the time for the others to hear of it. */
    private static final Duration TURN = Duration.ofMillis(60);

    /** Daemons beyond this place wait no longer than it. */
    private static final int MAX_TURNS = 10;

    private static final Logger LOG = Logger.getLogger(FleetControl.class);

    private final DaemonName daemon;
    private final Peer self;
    private final FleetStore store;
    private final EndpointCodec codec;
    private final MonotonicClock clock;
    private final StoreFollower follower;
    private final Directory directory = new Directory();
    private final TermKeeper terms;
    private final Suspicions suspicions;
    private final Failovers failovers;
    private final LeasedEntry hostEntry;
    private final Hosts hosts = new Hosts();
    private final TrafficThread traffic;
    private final Map<GroupName, Duration> missingSince = new HashMap<>();
    private FleetSnapshot published = FleetSnapshot.EMPTY;
    private boolean serving;
    private boolean left;
    private Duration renewedAt = Duration.ofSeconds(-1);
    private boolean loaded;
    private Thread followerThread;
    private volatile boolean leaving;
    private volatile boolean configured;

    /**
     * Creates a control thread's work.
     *
     * @param self how other daemons reach this one
     * @param seeds daemons that are asked while the store does not answer and nothing is known yet
     * @param changeBound time in which a change of the configuration must be in force
     * @param traffic hears of each change of what is known, and tells what it finds out
     */
    public FleetControl(
            DaemonName daemon,
            Peer self,
            List<InetSocketAddress> seeds,
            FleetStore store,
            EndpointCodec codec,
            PromotionPort promotions,
            Clocks clocks,
            RandomGenerator random,
            Duration changeBound,
            TrafficThread traffic) {
        this.daemon = daemon;
        this.self = self;
        this.store = store;
        this.codec = codec;
        this.clock = clocks.monotonic();
        this.follower = new StoreFollower(store, clock, traffic, seeds, changeBound, random);
        this.terms = new TermKeeper(store, clock);
        this.suspicions = new Suspicions(daemon, store, random);
        this.failovers = new Failovers(daemon, store, codec, promotions, clocks);
        this.hostEntry = new LeasedEntry(store, Hosts.key(daemon), HOST_LEASE, random);
        this.traffic = traffic;
    }

    /** Starts to follow the store on a thread of its own. */
    public void startStoreThread() {
        followerThread = new Thread(follower, "store");
        followerThread.setDaemon(true);
        followerThread.start();
    }

    /** Ends the thread that follows the store. */
    public void close() {
        followerThread.interrupt();
    }

    /** Returns whether a configuration is in force. May be called from any thread. */
    public boolean isConfigured() {
        return configured;
    }

    /** Gives the duties and the entries of this daemon up. May be called from any thread. */
    public void leave() {
        leaving = true;
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                step();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void step() throws InterruptedException {
        StoreFollower.Reading reading = follower.readings().poll(STEP.toMillis(), TimeUnit.MILLISECONDS);
        Duration now = clock.now();
        if (reading != null) {
            take(reading, now);
        }
        boolean changed = reading != null;
        changed |= directory.expire(now);
        changed |= hosts.expire(now);
        boolean due = now.minus(renewedAt).compareTo(RENEWAL_INTERVAL) >= 0 || terms.hasLapsed();
        if (due && (serving || traffic.isBusy())) {
            renewedAt = now;
            terms.renew(turn());
        }
        publish(changed);
        if (!loaded) {
            return;
        }
        if (leaving) {
            giveUp();
            return;
        }
        hostEntry.keep(Hosts.encode(self), revisionOf(Hosts.key(daemon)), clock.now());
        maintainGroups();
    }

    /** Tells the others to send no more work here, and gives the votes up. */
    private void giveUp() {
        if (!left) {
            left = true;
            hostEntry.replace(Hosts.encodeLeaving(self), revisionOf(Hosts.key(daemon)));
            suspicions.withdraw();
        }
    }

    private long revisionOf(String key) {
        return directory.entry(key).map(StoreEntry::revision).orElse(StoreWrite.ABSENT);
    }

    private void take(StoreFollower.Reading reading, Duration now) {
        if (reading.complete()) {
            directory.replace(reading.changes(), now);
            loaded = true;
        } else {
            reading.changes().changes().forEach(change -> directory.apply(change, now));
        }
        hosts.take(directory.entriesUnder(Hosts.PREFIX), now);
        for (StoreChange change : reading.changes().changes()) {
            if (change instanceof StoreChange.EntryChanged changed
                    && changed.entry().key().equals(TermRecord.KEY)) {
                terms.install(changed.entry());
                renewedAt = Duration.ofSeconds(-1);
            }
        }
    }

    private void publish(boolean changed) {
        FleetSnapshot view = published;
        if (changed) {
            view = FleetSnapshot.of(directory.catalog(), directory.endpoints(), hosts.alive());
            // Evidence of a primary is of use only to a daemon that holds connections to endpoints.
            serving = view.ownsAnyGroup(daemon);
            follower.peers(
                    addresses(Watchers.of(daemon, view.peers())),
                    addresses(Maps.filterKeys(view.peers(), name -> !name.equals(daemon))
                            .values()));
        }
        Map<GroupName, ProvenPrimary> proven = terms.evidence().views();
        if (changed || !proven.equals(published.provenPrimaries())) {
            published = view.withProvenPrimaries(proven);
            traffic.applySnapshot(published);
            configured = published.catalog().isPresent();
        }
    }

    private static List<InetSocketAddress> addresses(Collection<Peer> peers) {
        return peers.stream().map(Peer::address).toList();
    }

    private void maintainGroups() {
        Set<EndpointName> silent = traffic.unresponsiveEndpoints();
        List<GroupName> groups = new ArrayList<>();
        directory
                .catalog()
                .ifPresent(catalog -> groups.addAll(catalog.maxConnections().keySet()));
        follower.hurry(isFailoverNear(groups));
        for (GroupName group : groups) {
            Optional<GroupTerm> term = terms.evidence().record().group(group);
            Map<EndpointName, EndpointEntry> members = directory.members(group);
            if (term.isEmpty()) {
                addGroup(group, members);
            } else {
                boolean suspected = silent.contains(term.get().primary());
                suspicions.update(group, term.get().primary(), suspected, directory, clock.now());
                boolean voted = suspected
                        && suspicions.votes(group, term.get().primary(), directory)
                                > published.owners(group).size() / 2;
                boolean underway = directory.entry(FailoverRun.lockKey(group)).isPresent();
                failovers.consider(group, term.get(), members, voted, underway, rank(), clock.now());
            }
        }
        failovers.forgetEnded();
    }

    /** Returns whether a primary is doubted or being replaced. */
    private boolean isFailoverNear(List<GroupName> groups) {
        TermRecord record = terms.evidence().record();
        return suspicions.any(directory)
                || groups.stream()
                        .map(record::group)
                        .flatMap(Optional::stream)
                        .anyMatch(term -> term.phase() != TermPhase.OPEN);
    }

    /** Returns the place of this daemon among the live ones, so that not all of them act at once. */
    private int rank() {
        return (int) published.peers().keySet().stream()
                .filter(name -> name.compareTo(daemon) < 0)
                .count();
    }

    /** Returns for how long this daemon leaves to those before it what any one of them can do for all. */
    private Duration turn() {
        return TURN.multipliedBy(Math.min(rank(), MAX_TURNS));
    }

    /** Records the primary of a group for the first time, the first daemon at once and the others later. */
    private void addGroup(GroupName group, Map<EndpointName, EndpointEntry> members) {
        Duration now = clock.now();
        Duration since = missingSince.computeIfAbsent(group, name -> now);
        if (now.minus(since).compareTo(STEP.multipliedBy(rank())) < 0) {
            return;
        }
        List<EndpointEntry> leaders = members.values().stream()
                .filter(entry -> entry.role() == EndpointRole.PRIMARY)
                .toList();
        if (leaders.size() != 1) {
            return;
        }
        try (EndpointOrders orders = new EndpointOrders(codec)) {
            orders.status(leaders.get(0))
                    .filter(report -> report.role() == EndpointRole.PRIMARY)
                    .forEach(report -> report.peek(found -> {
                        LOG.infof(
                                "[fleet] %s leads %s in term %d.",
                                leaders.get(0).name(), group, found.term());
                        terms.add(group, leaders.get(0).name(), found.term());
                    }));
        }
    }
}
