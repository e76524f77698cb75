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
 * The task of the control thread. It reads the fleet state from the store, renews the evidence of the primaries,
 * maintains this daemon's store entries, starts failovers, and passes the fleet state to the traffic thread.
 */
public final class FleetControl implements Runnable {

    /** Time between renewals of the lease of the term record. Evidence stays valid for several of these intervals. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(300);

    /** Longest time to wait for a store update before periodic work is checked. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Time to live of the entry by which this daemon counts as live and gets a share of the connections. */
    private static final Duration DAEMON_ENTRY_TIME_TO_LIVE = Duration.ofSeconds(6);

    /**
     * Delay that each position among the live daemons adds before an expired lease is replaced. One daemon is enough
     * for that, and the others need this time to learn of it.
     */
    private static final Duration REPLACEMENT_DELAY_PER_POSITION = Duration.ofMillis(60);

    /** Highest position that adds to the delay. */
    private static final int MAX_DELAYED_POSITION = 10;

    private static final Logger LOG = Logger.getLogger(FleetControl.class);

    private final DaemonName daemon;
    private final Peer self;
    private final FleetStore store;
    private final EndpointCodec codec;
    private final MonotonicClock clock;
    private final StoreChangeReader changeReader;
    private final StoreCache storeCache = new StoreCache();
    private final TermRecordManager terms;
    private final UnreachabilityVotes unreachabilityVotes;
    private final FailoverManager failovers;
    private final LeasedEntry daemonEntry;
    private final LiveDaemons liveDaemons = new LiveDaemons();
    private final TrafficThread traffic;
    private final Map<GroupName, Duration> missingSince = new HashMap<>();
    private FleetSnapshot published = FleetSnapshot.EMPTY;
    private boolean ownsGroups;
    private boolean leaveAnnounced;
    private Duration lastRenewalAt = Duration.ofSeconds(-1);
    private boolean loaded;
    private Thread storeThread;
    private volatile boolean leaving;
    private volatile boolean configured;

    /**
     * Creates the task.
     *
     * @param self the failure domain of this daemon and its address for other daemons
     * @param seeds addresses of daemons to read from if the store is unreachable and no other daemons are known
     * @param maxChangeDelay time within which a configuration change must take effect
     * @param traffic the traffic thread, which receives the fleet state and reports unresponsive endpoints
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
            Duration maxChangeDelay,
            TrafficThread traffic) {
        this.daemon = daemon;
        this.self = self;
        this.store = store;
        this.codec = codec;
        this.clock = clocks.monotonic();
        this.changeReader = new StoreChangeReader(store, clock, traffic, seeds, maxChangeDelay, random);
        this.terms = new TermRecordManager(store, clock);
        this.unreachabilityVotes = new UnreachabilityVotes(daemon, store, random);
        this.failovers = new FailoverManager(daemon, store, codec, promotions, clocks);
        this.daemonEntry = new LeasedEntry(store, LiveDaemons.key(daemon), DAEMON_ENTRY_TIME_TO_LIVE, random);
        this.traffic = traffic;
    }

    /** Starts the thread that reads changes of the store. */
    public void startStoreThread() {
        storeThread = new Thread(changeReader, "store");
        storeThread.setDaemon(true);
        storeThread.start();
    }

    /** Interrupts the thread that reads changes of the store. */
    public void close() {
        storeThread.interrupt();
    }

    /** Returns whether this daemon has a configuration. May be called from any thread. */
    public boolean isConfigured() {
        return configured;
    }

    /**
     * Makes the control thread announce that this daemon is leaving, withdraw its votes, and start no more failovers.
     * May be called from any thread.
     */
    public void leave() {
        leaving = true;
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                runOnce();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Waits for the next store update, but at most the poll interval, and then does all work that is due. */
    private void runOnce() throws InterruptedException {
        StoreChangeReader.Update update = changeReader.updates().poll(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        Duration now = clock.now();
        if (update != null) {
            applyUpdate(update, now);
        }
        boolean changed = update != null;
        changed |= storeCache.removeExpired(now);
        changed |= liveDaemons.removeExpired(now);
        boolean renewalDue = now.minus(lastRenewalAt).compareTo(RENEWAL_INTERVAL) >= 0 || terms.isLeaseExpired();
        if (renewalDue && (ownsGroups || traffic.isBusy())) {
            lastRenewalAt = now;
            terms.renewLease(leaseReplacementDelay());
        }
        publish(changed);
        if (!loaded) {
            return;
        }
        if (leaving) {
            announceLeaving();
            return;
        }
        daemonEntry.maintain(LiveDaemons.encode(self), revisionOf(LiveDaemons.key(daemon)), clock.now());
        maintainGroups();
    }

    /** Tells the other daemons to send no more work here, and withdraws the votes of this daemon. */
    private void announceLeaving() {
        if (!leaveAnnounced) {
            leaveAnnounced = true;
            daemonEntry.replace(LiveDaemons.encodeLeaving(self), revisionOf(LiveDaemons.key(daemon)));
            unreachabilityVotes.withdrawAll();
        }
    }

    /** Returns the revision of a fleet entry; {@link StoreWrite#ABSENT} if there is none. */
    private long revisionOf(String key) {
        return storeCache.entry(key).map(StoreEntry::revision).orElse(StoreWrite.ABSENT);
    }

    private void applyUpdate(StoreChangeReader.Update update, Duration now) {
        if (update.complete()) {
            storeCache.replaceAll(update.changes(), now);
            loaded = true;
        } else {
            update.changes().changes().forEach(change -> storeCache.apply(change, now));
        }
        liveDaemons.update(storeCache.entriesWithPrefix(LiveDaemons.PREFIX), now);
        for (StoreChange change : update.changes().changes()) {
            if (change instanceof StoreChange.EntryChanged changed
                    && changed.entry().key().equals(TermRecord.KEY)) {
                terms.install(changed.entry());
                lastRenewalAt = Duration.ofSeconds(-1);
            }
        }
    }

    /** Passes the fleet state to the traffic thread if it has changed. */
    private void publish(boolean changed) {
        FleetSnapshot snapshot = published;
        if (changed) {
            snapshot = FleetSnapshot.of(storeCache.catalog(), storeCache.endpoints(), liveDaemons.peers());
            // Only a daemon with connections to endpoints needs evidence of their primaries.
            ownsGroups = snapshot.ownsAnyGroup(daemon);
            changeReader.setPeers(
                    addresses(WatcherSelection.watchersFor(daemon, snapshot.peers())),
                    addresses(Maps.filterKeys(snapshot.peers(), name -> !name.equals(daemon))
                            .values()));
        }
        Map<GroupName, ProvenPrimary> proven = terms.evidence().views();
        if (changed || !proven.equals(published.provenPrimaries())) {
            published = snapshot.withProvenPrimaries(proven);
            traffic.applySnapshot(published);
            configured = published.catalog().isPresent();
        }
    }

    private static List<InetSocketAddress> addresses(Collection<Peer> peers) {
        return peers.stream().map(Peer::address).toList();
    }

    private void maintainGroups() {
        Set<EndpointName> unresponsive = traffic.unresponsiveEndpoints();
        List<GroupName> groups = new ArrayList<>();
        storeCache
                .catalog()
                .ifPresent(catalog -> groups.addAll(catalog.maxConnections().keySet()));
        changeReader.deliverImmediately(isFailoverLikely(groups));
        for (GroupName group : groups) {
            Optional<GroupTerm> term = terms.evidence().record().group(group);
            Map<EndpointName, EndpointEntry> members = storeCache.members(group);
            if (term.isEmpty()) {
                recordFirstPrimary(group, members);
            } else {
                boolean primaryUnresponsive = unresponsive.contains(term.get().primary());
                unreachabilityVotes.updateOwnVote(
                        group, term.get().primary(), primaryUnresponsive, storeCache, clock.now());
                boolean votedOut = primaryUnresponsive
                        && unreachabilityVotes.count(group, term.get().primary(), storeCache)
                                > published.owners(group).size() / 2;
                boolean locked = storeCache.entry(FailoverRun.lockKey(group)).isPresent();
                failovers.startIfDue(group, term.get(), members, votedOut, locked, position(), clock.now());
            }
        }
        failovers.removeFinished();
    }

    /** Returns whether there are votes against a primary or a group has an unfinished failover. */
    private boolean isFailoverLikely(List<GroupName> groups) {
        TermRecord record = terms.evidence().record();
        return unreachabilityVotes.hasVotes(storeCache)
                || groups.stream()
                        .map(record::group)
                        .flatMap(Optional::stream)
                        .anyMatch(term -> term.phase() != TermPhase.OPEN);
    }

    /**
     * Returns the position of this daemon among the live daemons by name, from 0. Work that one daemon can do for all
     * is delayed by the position, so that usually only one daemon does it.
     */
    private int position() {
        return (int) published.peers().keySet().stream()
                .filter(name -> name.compareTo(daemon) < 0)
                .count();
    }

    /** Returns how long this daemon waits for the daemons before it to replace an expired lease. */
    private Duration leaseReplacementDelay() {
        return REPLACEMENT_DELAY_PER_POSITION.multipliedBy(Math.min(position(), MAX_DELAYED_POSITION));
    }

    /**
     * Adds a group to the term record with the primary that its endpoint reports. The daemon at position 0 does so
     * immediately, each other one after a delay that grows with its position.
     */
    private void recordFirstPrimary(GroupName group, Map<EndpointName, EndpointEntry> members) {
        Duration now = clock.now();
        Duration since = missingSince.computeIfAbsent(group, name -> now);
        if (now.minus(since).compareTo(POLL_INTERVAL.multipliedBy(position())) < 0) {
            return;
        }
        List<EndpointEntry> primaries = members.values().stream()
                .filter(entry -> entry.role() == EndpointRole.PRIMARY)
                .toList();
        if (primaries.size() != 1) {
            return;
        }
        try (EndpointControlClient client = new EndpointControlClient(codec)) {
            client.status(primaries.get(0))
                    .filter(report -> report.role() == EndpointRole.PRIMARY)
                    .forEach(report -> report.peek(status -> {
                        LOG.infof(
                                "[fleet] Endpoint %s is the primary of %s in term %d; adding it to the term record.",
                                primaries.get(0).name(), group, status.term());
                        terms.addGroup(group, primaries.get(0).name(), status.term());
                    }));
        }
    }
}
