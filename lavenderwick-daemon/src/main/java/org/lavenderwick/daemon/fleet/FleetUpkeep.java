package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.failover.ActingOrder;
import org.lavenderwick.core.failover.FailoverRun;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.FailoverTrigger;
import org.lavenderwick.core.failover.FailoverWait;
import org.lavenderwick.core.failover.GroupDirectory;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.failover.TermInheritance;
import org.lavenderwick.core.failover.TermPhase;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.FleetSnapshot;
import org.lavenderwick.daemon.session.Peer;
import org.lavenderwick.daemon.session.TrafficThread;

/**
 * The task of the thread that maintains this daemon's store entries, votes on unresponsive primaries and starts
 * failovers. Its store calls may block; what other threads do does not wait for them.
 *
 * <p>For each group only its owners act, in the order in which they were selected: they are few, spread over the
 * failure domains, and change little when daemons join or leave. Each waits a little for those before it, so that one
 * that does not act is replaced fast, and usually only one acts.
 */
final class FleetUpkeep implements Runnable {

    /** Time between two rounds of work. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /** Time to live of the entry by which this daemon counts as live and gets a share of the connections. */
    private static final Duration DAEMON_ENTRY_TIME_TO_LIVE = Duration.ofSeconds(6);

    /** Wait for each owner before this daemon before it records the first primary of a group. */
    private static final Duration FIRST_PRIMARY_DELAY = Duration.ofMillis(100);

    /** Wait for each owner before this daemon before it writes which endpoints are members of a group. */
    private static final Duration MEMBERSHIP_DELAY = Duration.ofMillis(100);

    /**
     * Additional wait before the first primary of a group is recorded in a later era of the store than the first. All
     * endpoints of the group have had the time to confirm it by then, on connections that are old enough for that.
     */
    private static final Duration UNKNOWN_GROUP_DELAY =
            FailoverTimings.DEFAULTS.minConnectionAge().plusSeconds(2);

    private static final Logger LOG = Logger.getLogger(FleetUpkeep.class);

    /** The era of the term record that lacks a group, and since when this daemon has known that. */
    private record Missing(long era, Duration since) {}

    private final DaemonName daemon;
    private final Peer self;
    private final EndpointCodec codec;
    private final MonotonicClock clock;
    private final StoreCache storeCache;
    private final TermRecordManager terms;
    private final UnreachabilityVotes unreachabilityVotes;
    private final FailoverManager failovers;
    private final Function<GroupName, GroupDirectory> directories;
    private final SyncMembershipManager syncMemberships;
    private final GroupMembershipManager memberships;
    private final LeasedEntry daemonEntry;
    private final TrafficThread traffic;
    private final Supplier<FleetSnapshot> snapshot;
    private final Consumer<Boolean> onFailoverLikely;
    private final Optional<LimitClaims> limitClaims;
    private final Map<GroupName, Missing> missingSince = new HashMap<>();
    private boolean leaveAnnounced;
    private volatile boolean leaving;

    /**
     * Creates the task.
     *
     * @param self the failure domain of this daemon and its address for other daemons
     * @param directories returns what this daemon knows of a group at present
     * @param snapshot returns the newest state of the fleet
     * @param onFailoverLikely receives whether a primary is suspected or being replaced
     * @param limitClaims the claims to the parts of the rate limits; empty if operations are not limited
     */
    FleetUpkeep(
            DaemonName daemon,
            Peer self,
            FleetStore store,
            EndpointCodec codec,
            MonotonicClock clock,
            RandomGenerator random,
            StoreCache storeCache,
            TermRecordManager terms,
            FailoverManager failovers,
            Function<GroupName, GroupDirectory> directories,
            TrafficThread traffic,
            Supplier<FleetSnapshot> snapshot,
            Consumer<Boolean> onFailoverLikely,
            Optional<LimitClaims> limitClaims) {
        this.daemon = daemon;
        this.self = self;
        this.codec = codec;
        this.clock = clock;
        this.storeCache = storeCache;
        this.terms = terms;
        this.unreachabilityVotes = new UnreachabilityVotes(daemon, store, random);
        this.failovers = failovers;
        this.directories = directories;
        this.syncMemberships = new SyncMembershipManager(store, codec, clock, storeCache, terms.evidence());
        this.memberships = new GroupMembershipManager(terms, clock);
        this.daemonEntry = new LeasedEntry(store, LiveDaemons.key(daemon), DAEMON_ENTRY_TIME_TO_LIVE, random);
        this.traffic = traffic;
        this.snapshot = snapshot;
        this.onFailoverLikely = onFailoverLikely;
        this.limitClaims = limitClaims;
    }

    /**
     * Makes this task announce that the daemon is leaving, withdraw its votes, and start no more failovers. May be
     * called from any thread.
     */
    void leave() {
        leaving = true;
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Thread.sleep(INTERVAL.toMillis());
                runOnce();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[fleet] The upkeep of the fleet failed unexpectedly; trying again.");
            }
        }
    }

    private void runOnce() {
        if (!storeCache.isLoaded()) {
            return;
        }
        if (leaving) {
            announceLeaving();
            return;
        }
        // The groups come first: a call for the daemon's own entry may take long, and nothing depends on it so soon.
        maintainGroups(snapshot.get());
        daemonEntry.maintain(LiveDaemons.encode(self), revisionOf(LiveDaemons.key(daemon)), clock.now());
        limitClaims
                .filter(claims -> hasAccounts(snapshot.get()))
                .ifPresent(claims -> claims.maintain(snapshot.get().peers(), daemonEntry));
    }

    private static boolean hasAccounts(FleetSnapshot current) {
        return current.catalog()
                .filter(catalog -> !catalog.accounts().isEmpty())
                .isPresent();
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

    private void maintainGroups(FleetSnapshot current) {
        Set<EndpointName> unresponsive = traffic.unresponsiveEndpoints();
        TermRecord record = terms.evidence().record();
        Set<GroupName> groups = current.catalog()
                .map(catalog -> catalog.maxConnections().keySet())
                .orElse(Set.of());
        onFailoverLikely.accept(unreachabilityVotes.hasVotes(storeCache) || hasUnfinishedFailover(record, groups));
        for (GroupName group : groups) {
            List<DaemonName> owners = current.owners(group);
            if (!owners.contains(daemon)) {
                unreachabilityVotes.withdraw(group);
                memberships.forget(group);
                continue;
            }
            Optional<GroupTerm> term = record.group(group);
            Map<EndpointName, EndpointEntry> members = storeCache.members(group);
            if (term.isEmpty()) {
                recordMissingGroup(group, record.era(), members, turn(owners, FIRST_PRIMARY_DELAY));
            } else {
                missingSince.remove(group);
                maintainGroup(group, term.get(), members, unresponsive, owners);
            }
        }
        failovers.removeFinished();
    }

    private void maintainGroup(
            GroupName group,
            GroupTerm term,
            Map<EndpointName, EndpointEntry> members,
            Set<EndpointName> unresponsive,
            List<DaemonName> owners) {
        boolean primaryUnresponsive = unresponsive.contains(term.primary());
        unreachabilityVotes.updateOwnVote(group, term.primary(), primaryUnresponsive, storeCache, clock.now());
        boolean votedOut =
                primaryUnresponsive && unreachabilityVotes.count(group, term.primary(), storeCache) > owners.size() / 2;
        boolean locked = storeCache.entry(FailoverRun.lockKey(group)).isPresent();
        boolean awaiting = storeCache
                .entry(FailoverWait.key(group))
                .filter(entry -> !entry.value().isEmpty())
                .isPresent();
        FailoverTrigger.Situation situation = new FailoverTrigger.Situation(term, members, votedOut, locked, awaiting);
        failovers.startIfDue(group, situation, turn(owners, FailoverTrigger.STEP), clock.now());
        GroupDirectory directory = directories.apply(group);
        memberships.maintain(group, directory, turn(owners, MEMBERSHIP_DELAY));
        boolean isSynchronous = storeCache
                .catalog()
                .filter(catalog -> catalog.syncReplicas().containsKey(group))
                .isPresent();
        if (isSynchronous) {
            long era = terms.evidence().record().era();
            syncMemberships.maintain(group, term, directory, era, turn(owners, MEMBERSHIP_DELAY));
        } else {
            syncMemberships.forget(group);
        }
    }

    /** Returns how long this daemon, one of the owners, waits for those before it. */
    private Duration turn(List<DaemonName> owners, Duration step) {
        return ActingOrder.delay(owners, daemon, step).orElseThrow();
    }

    /** Returns whether a group has a failover that has begun and not ended. */
    private static boolean hasUnfinishedFailover(TermRecord record, Set<GroupName> groups) {
        return groups.stream()
                .map(record::group)
                .flatMap(Optional::stream)
                .anyMatch(term -> term.phase() != TermPhase.OPEN);
    }

    /**
     * Adds a group to the term record. The first owner does so at once, each other one after a delay that grows with
     * its position among them. In a later era of the store than the first, a failover of an earlier era may not
     * have ended, so the primary that its endpoint reports does not suffice unless nothing is known of the group.
     */
    private void recordMissingGroup(
            GroupName group, long era, Map<EndpointName, EndpointEntry> members, Duration turn) {
        Duration now = clock.now();
        Missing missing = missingSince.compute(
                group, (name, known) -> known != null && known.era() == era ? known : new Missing(era, now));
        Duration turnAt = missing.since().plus(turn);
        if (now.compareTo(turnAt) < 0) {
            return;
        }
        Optional<GroupTerm> inherited = terms.evidence().inherited(group);
        if (era == EraRevision.FIRST_ERA
                || (inherited.isEmpty() && now.compareTo(turnAt.plus(UNKNOWN_GROUP_DELAY)) > 0)) {
            recordFirstPrimary(group, era, members);
            return;
        }
        Optional<ProvenPrimary> proven =
                Optional.ofNullable(traffic.primariesProvenByEndpoints().get(group));
        Optional<ProvenPrimary> reported =
                Optional.ofNullable(traffic.primariesReportedByEndpoints().get(group));
        TermInheritance.termToRecord(era, inherited, proven, reported, missing.since(), now.minus(turn))
                .ifPresent(term -> {
                    LOG.infof(
                            "[fleet] Recording %s in era %d of the store: primary %s in term %d, %s.",
                            group, era, term.primary(), term.term(), term.phase());
                    terms.addGroup(group, term, era, members.keySet());
                });
    }

    /** Adds a group to the term record with the primary that its endpoint reports. */
    private void recordFirstPrimary(GroupName group, long era, Map<EndpointName, EndpointEntry> members) {
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
                        GroupTerm term = GroupTerm.open(primaries.get(0).name(), status.term(), EraRevision.of(era, 0));
                        terms.addGroup(group, term, era, members.keySet());
                    }));
        }
    }
}
