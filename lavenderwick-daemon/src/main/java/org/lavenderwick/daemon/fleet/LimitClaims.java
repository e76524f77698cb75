package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.google.common.collect.Maps;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.dispatch.GroupOwners;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.ActingOrder;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.ratelimit.PartClaim;
import org.lavenderwick.core.ratelimit.PartEntry;
import org.lavenderwick.core.ratelimit.PartId;
import org.lavenderwick.core.ratelimit.Tenure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.GrantorView;
import org.lavenderwick.daemon.session.Peer;
import org.lavenderwick.daemon.session.TrafficThread;

/**
 * The claims of this daemon to the parts of the rate limits. Their entries share the lease of the daemon's own entry,
 * so they cost no renewals. Confined to the upkeep thread.
 */
final class LimitClaims {

    /** Number of daemons that may claim a part without a holder. */
    private static final int CANDIDATES = 4;

    /** Wait for each candidate before this one; they need this time to learn of its entry. */
    private static final Duration STEP = Duration.ofMillis(600);

    /**
     * Time for which a part without a holder is left alone. A fleet starts within less than this time, so that every
     * daemon knows the others before the first claim; otherwise the first daemon would hold all parts.
     */
    private static final Duration MEMBERSHIP_DELAY = Duration.ofSeconds(2);

    private static final Logger LOG = Logger.getLogger(LimitClaims.class);

    private final DaemonName daemon;
    private final FleetStore store;
    private final MonotonicClock clock;
    private final StoreCache storeCache;
    private final TrafficThread traffic;
    private final List<PartClaim> claims;
    private GrantorView published = new GrantorView(Map.of(), Map.of());
    private Map<DaemonName, Peer> peers = Map.of();
    private final Map<PartId, Optional<Duration>> turns = new HashMap<>();

    LimitClaims(
            DaemonName daemon, FleetStore store, MonotonicClock clock, StoreCache storeCache, TrafficThread traffic) {
        this.daemon = daemon;
        this.store = store;
        this.clock = clock;
        this.storeCache = storeCache;
        this.traffic = traffic;
        this.claims =
                PartId.ALL.stream().map(part -> new PartClaim(part, daemon)).toList();
    }

    /** Claims what is due and tells the traffic thread who grants. */
    void maintain(Map<DaemonName, Peer> livePeers, LeasedEntry ownEntry) {
        if (peers != livePeers) {
            peers = livePeers;
            turns.clear();
        }
        ownEntry.renewal().ifPresent(renewal -> {
            for (PartClaim claim : claims) {
                claim.onRenewed(renewal.lease(), renewal.era(), renewal.sentAt());
                claim(claim, renewal);
            }
        });
        publish();
    }

    private void claim(PartClaim claim, LeasedEntry.Renewal renewal) {
        PartId part = claim.part();
        if (renewal.era() != store.era()) {
            return;
        }
        Optional<StoreEntry> known = storeCache.entry(part.key());
        Optional<Duration> turn = turns.computeIfAbsent(part, this::turn);
        claim.next(known, renewal.era(), renewal.lease(), turn, clock.now()).ifPresent(write -> {
            Either<Failure, Long> written = store.write(new StoreWrite(
                    part.key(), write.expectedRevision(), write.entry().encode(), renewal.lease()));
            if (written.isRight()) {
                claim.onWritten(write, written.get(), renewal.lease(), renewal.sentAt(), clock.now());
                write.startDelay()
                        .ifPresent(delay -> LOG.infof(
                                "[limits] Acquired part %d of shard %d of the rate limits; granting in %d ms.",
                                part.part(), part.shard(), delay.toMillis()));
            } else {
                claim.onFailed(clock.now());
                LOG.debugf(
                        "[limits] Could not write the entry %s: %s",
                        part.key(), written.getLeft().detail());
            }
        });
    }

    /** Returns how long this daemon leaves a part without a holder to others; empty if it is no candidate. */
    private Optional<Duration> turn(PartId part) {
        Map<DaemonName, FailureDomain> domains = Maps.transformValues(peers, Peer::failureDomain);
        List<FailureDomain> all = List.copyOf(new TreeSet<>(domains.values()));
        Map<DaemonName, FailureDomain> eligible = domains.entrySet().stream()
                .filter(entry -> serves(all.indexOf(entry.getValue()), all.size(), part.part()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return ActingOrder.delay(GroupOwners.select(GroupName.of(part.key()), eligible, CANDIDATES), daemon, STEP)
                .map(MEMBERSHIP_DELAY::plus);
    }

    /** Returns whether the daemons of a failure domain are candidates for a part. */
    private static boolean serves(int domain, int domains, int part) {
        return domains < PartId.PARTS ? part % domains == domain : domain % PartId.PARTS == part;
    }

    private void publish() {
        Map<PartId, DaemonName> holders = new HashMap<>();
        for (PartId part : PartId.ALL) {
            storeCache
                    .entry(part.key())
                    .flatMap(entry -> PartEntry.decode(entry.value()))
                    .ifPresent(entry -> holders.put(part, entry.holder()));
        }
        Map<PartId, List<Tenure>> tenures = new HashMap<>();
        for (PartClaim claim : claims) {
            if (!claim.tenures().isEmpty()) {
                tenures.put(claim.part(), claim.tenures());
            }
        }
        GrantorView view = new GrantorView(holders, tenures);
        if (!view.equals(published)) {
            logChanges(view);
            published = view;
            traffic.applyGrantors(view);
        }
    }

    private void logChanges(GrantorView view) {
        for (PartId part : PartId.ALL) {
            DaemonName before = published.holders().get(part);
            DaemonName after = view.holders().get(part);
            if (after != null && !after.equals(before)) {
                LOG.infof(
                        "[limits] The grantor of part %d of shard %d changes from %s to %s with revision %d.",
                        part.part(),
                        part.shard(),
                        before == null ? "none" : before,
                        after,
                        storeCache.entry(part.key()).map(StoreEntry::revision).orElse(0L));
            }
        }
    }
}
