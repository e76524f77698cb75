package org.lavenderwick.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.dispatch.GroupOwners;
import org.lavenderwick.core.failover.ActingOrder;
import org.lavenderwick.core.failover.ConfirmedMembers;
import org.lavenderwick.core.failover.FailoverWait;
import org.lavenderwick.core.failover.GroupDirectory;
import org.lavenderwick.core.failover.PromotionPort;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.propagation.ChangeSources;
import org.lavenderwick.core.propagation.SourceSelection;
import org.lavenderwick.core.propagation.StoreRole;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.time.Backoff;
import org.lavenderwick.core.time.Clocks;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.FleetSnapshot;
import org.lavenderwick.daemon.session.Peer;
import org.lavenderwick.daemon.session.TrafficThread;

/**
 * The task of the control thread: it applies the changes of the store and passes the resulting fleet state to the
 * traffic thread. It makes no calls itself, so nothing that the store leaves without a response delays a change. The
 * threads that make calls are started and stopped with it: the readers of the changes, {@link EvidenceRenewal} and
 * {@link FleetUpkeep}.
 */
public final class FleetControl implements Runnable {

    /** Longest time to wait for a change before expired entries are looked for. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private static final Duration MIN_STORE_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_STORE_BACKOFF = Duration.ofMillis(1600);

    /** Number of daemons that may replace the expired lease of the term record; spread over the failure domains. */
    private static final int LEASE_REPLACERS = 10;

    /** Name under which these daemons are selected, as the owners of groups are. */
    private static final GroupName LEASE_REPLACER_SELECTION = GroupName.of("term-record");

    /**
     * Delay that each earlier one of these daemons adds before this one replaces the lease. One is enough for that, and
     * the others need this time to learn of it.
     */
    private static final Duration REPLACEMENT_DELAY = Duration.ofMillis(60);

    private static final Logger LOG = Logger.getLogger(FleetControl.class);

    private final DaemonName daemon;
    private final Peer self;
    private final MonotonicClock clock;
    private final ChangeInbox inbox;
    private final ContentAgeLog contentAgeLog;
    private final StoreCache storeCache = new StoreCache();
    private final TermRecordManager terms;
    private final LiveDaemons liveDaemons = new LiveDaemons();
    private final TrafficThread traffic;
    private final EvidenceRenewal renewal;
    private final FleetUpkeep upkeep;
    private final FeedReader feedReader;
    private final Map<String, Runnable> tasks;
    private final List<Thread> threads = new ArrayList<>();
    private volatile FleetSnapshot published = FleetSnapshot.EMPTY;
    private volatile List<DaemonName> leaseReplacers = List.of();
    private volatile StoreRole role = StoreRole.WATCHER;
    private volatile boolean ownsGroups;

    /**
     * Creates the task.
     *
     * @param self the failure domain of this daemon and its address for other daemons
     * @param seeds addresses of daemons to read from if the store is unreachable and no other daemons are known
     * @param maxChangeDelay time within which a configuration change must take effect
     * @param limitsRates whether the operations of client accounts are limited
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
            boolean limitsRates,
            TrafficThread traffic) {
        this.daemon = daemon;
        this.self = self;
        this.clock = clocks.monotonic();
        this.traffic = traffic;
        this.inbox = new ChangeInbox(
                ChangeSources.create(
                        maxChangeDelay,
                        Backoff.create(MIN_STORE_BACKOFF, MAX_STORE_BACKOFF, random),
                        seeds,
                        clock.now()),
                clock,
                traffic);
        StoreChangeReader changeReader = new StoreChangeReader(store, inbox, clock, maxChangeDelay);
        this.contentAgeLog = new ContentAgeLog(maxChangeDelay);
        traffic.describeContentWith(inbox::appliedContent);
        traffic.receiveOffersWith(inbox::onOffer);
        this.terms = new TermRecordManager(store, clock);
        LeaseConfirmations confirmations = new LeaseConfirmations(clock);
        this.renewal = new EvidenceRenewal(
                terms,
                confirmations,
                clock,
                () -> role == StoreRole.FOLLOWER,
                () -> ownsGroups || traffic.isBusy(),
                this::leaseReplacementDelay,
                () -> publish(false));
        traffic.confirmLeasesWith(renewal::confirm);
        this.upkeep = new FleetUpkeep(
                daemon,
                self,
                store,
                codec,
                clock,
                random,
                storeCache,
                terms,
                new FailoverManager(daemon, store, codec, promotions, clocks, this::directory),
                this::directory,
                traffic,
                () -> published,
                changeReader::deliverImmediately,
                limitsRates
                        ? Optional.of(new LimitClaims(daemon, store, clock, storeCache, traffic))
                        : Optional.empty());
        this.feedReader = new FeedReader(self.address(), inbox, store::decode, confirmations, clock);
        this.tasks = Map.of(
                "store", changeReader,
                "feed", feedReader,
                "evidence", renewal,
                "upkeep", upkeep);
    }

    /**
     * Starts the threads that read changes and make calls.
     *
     * @param starter starts a thread of the given name that runs the given task
     */
    public void startThreads(BiFunction<String, Runnable, Thread> starter) {
        tasks.forEach((name, task) -> threads.add(starter.apply(name, task)));
    }

    /** Interrupts the threads that read changes and make calls, and closes the feed that is being read. */
    public void close() {
        threads.forEach(Thread::interrupt);
        feedReader.close();
    }

    /** Returns whether this daemon has a configuration. May be called from any thread. */
    public boolean isConfigured() {
        return published.catalog().isPresent();
    }

    /**
     * Announces that this daemon is leaving, withdraws its votes, and starts no more failovers. May be called from any
     * thread.
     */
    public void leave() {
        upkeep.leave();
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                runOnce();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[fleet] Applying changes of the store failed unexpectedly; continuing with the next.");
            }
        }
    }

    /** Waits for the next changes, but at most the poll interval, and applies them and all that have arrived since. */
    private void runOnce() throws InterruptedException {
        ChangeInbox.Update update = inbox.updates().poll(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        Duration now = clock.now();
        boolean changed = update != null;
        int taken = 0;
        try {
            while (update != null) {
                taken++;
                applyUpdate(update, now);
                update = inbox.updates().poll();
            }
            changed |= storeCache.removeExpired(now);
            changed |= liveDaemons.removeExpired(now);
            if (changed) {
                publish(true);
            }
        } finally {
            inbox.onUpdatesApplied(taken);
        }
        contentAgeLog.check(inbox.appliedContent(), clock.now());
    }

    private void applyUpdate(ChangeInbox.Update update, Duration now) {
        terms.enterEra(EraRevision.era(update.changes().revision()));
        Optional<Catalog> catalogBefore = storeCache.catalog();
        if (update.complete()) {
            storeCache.replaceAll(update.changes(), now);
        } else {
            update.changes().changes().forEach(change -> storeCache.apply(change, now));
        }
        if (storeCache.catalog().orElse(null) != catalogBefore.orElse(null)) {
            LOG.infof(
                    "[fleet] Configuration %d came from %s; applied %d ms after it arrived.",
                    storeCache.catalog().orElseThrow().version(),
                    update.source(),
                    clock.now().minus(update.receivedAt()).toMillis());
        }
        liveDaemons.update(storeCache.entriesWithPrefix(LiveDaemons.PREFIX), now);
        for (StoreChange change : update.changes().changes()) {
            if (change instanceof StoreChange.EntryChanged changed
                    && changed.entry().key().equals(TermRecord.KEY)) {
                terms.install(changed.entry());
                renewal.requestRenewal();
            }
        }
    }

    /**
     * Passes the fleet state to the traffic thread if it has changed.
     *
     * @param changed whether anything but the evidence of the primaries may have changed
     */
    private synchronized void publish(boolean changed) {
        FleetSnapshot snapshot = published;
        if (changed) {
            snapshot = FleetSnapshot.update(snapshot, storeCache.catalog(), storeCache.endpoints(), liveDaemons.peers())
                    .withWaitingFailovers(waitingGroups());
            if (!snapshot.hasSamePeersAs(published)) {
                selectActors(snapshot.peers());
            }
            // Only a daemon with connections to endpoints needs evidence of their primaries.
            boolean ownedGroups = ownsGroups;
            ownsGroups = snapshot.ownsAnyGroup(daemon);
            if (ownsGroups && !ownedGroups) {
                renewal.requestRenewal();
            }
        }
        Map<GroupName, ProvenPrimary> proven = terms.evidence().views();
        Map<GroupName, ConfirmedMembers> members = terms.evidence().confirmedMembers();
        if (snapshot != published || !published.hasEvidence(proven, members)) {
            published = snapshot.withEvidence(proven, members);
            traffic.applySnapshot(published);
        }
    }

    /** Returns what this daemon knows of a group. The revision is read first, so that the rest is no older. */
    private GroupDirectory directory(GroupName group) {
        long revision = inbox.appliedContent().revision();
        int syncReplicas = storeCache
                .catalog()
                .map(catalog -> catalog.syncReplicas().getOrDefault(group, 0))
                .orElse(0);
        return new GroupDirectory(
                storeCache.members(group),
                storeCache.missing(group),
                storeCache.startTimes(group),
                syncReplicas,
                revision);
    }

    /** Returns the groups whose failover waits for endpoints without which it promotes none. */
    private Set<GroupName> waitingGroups() {
        return storeCache.entriesWithPrefix(FailoverWait.PREFIX).values().stream()
                .filter(entry -> !entry.value().isEmpty())
                .map(entry -> entry.key().substring(FailoverWait.PREFIX.length()))
                .filter(name -> !name.isBlank())
                .map(GroupName::of)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Selects the sources of changes and the daemons that may replace the lease of the term record. */
    private void selectActors(Map<DaemonName, Peer> peers) {
        Map<DaemonName, Peer> daemons = new HashMap<>(peers);
        // This daemon's own entry may not have come back from the store yet.
        daemons.put(daemon, self);
        SourceSelection.Selection selection =
                SourceSelection.select(daemon, Maps.transformValues(daemons, Peer::failureDomain));
        role = selection.role();
        inbox.setSources(
                selection.role(),
                selection.feeds().stream()
                        .map(name -> daemons.get(name).address())
                        .collect(ImmutableList.toImmutableList()));
        leaseReplacers = GroupOwners.select(
                LEASE_REPLACER_SELECTION, Maps.transformValues(daemons, Peer::failureDomain), LEASE_REPLACERS);
    }

    /** Returns how long this daemon waits for those selected before it to replace an expired lease. */
    private Optional<Duration> leaseReplacementDelay() {
        return ActingOrder.delay(leaseReplacers, daemon, REPLACEMENT_DELAY);
    }
}
