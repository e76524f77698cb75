package org.lavenderwick.daemon.session;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.dispatch.AccountOwners;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

/** Selects the daemons to which this daemon may relay a session. Confined to the traffic thread. */
final class RelayCandidates {

    private final DaemonName daemon;
    private final FailureDomain domain;
    private final Random random;

    RelayCandidates(DaemonName daemon, FailureDomain domain, Random random) {
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
    }

    /**
     * Returns the daemons to which a session may be relayed, in order of preference.
     *
     * <p>A session without an account is served here if this daemon owns the group. Otherwise it is relayed to an owner
     * in this daemon's failure domain or else to another one, each in random order.
     *
     * <p>A session of an account that has an owner in each failure domain is relayed to the one of this domain first. A
     * session of any other account is relayed to an owner of it, preferably in this daemon's failure domain, and
     * then to the other owners of the group in the order in which they replace it. It is served here once this daemon's
     * own place in that order is reached.
     *
     * @param owners the owners of the group; empty if none is known
     */
    List<Peer> find(FleetSnapshot snapshot, GroupName group, Optional<AccountName> account, List<DaemonName> owners) {
        if (account.isPresent() && snapshot.areAccountsInForce()) {
            return ofAccount(snapshot, group, account.get(), owners);
        }
        if (owners.isEmpty() || owners.contains(daemon)) {
            return List.of();
        }
        return inRandomOrder(peers(snapshot, owners));
    }

    private List<Peer> ofAccount(
            FleetSnapshot snapshot, GroupName group, AccountName account, List<DaemonName> owners) {
        AccountDirectory accounts = snapshot.catalog().map(Catalog::accounts).orElse(AccountDirectory.EMPTY);
        Optional<RateLimit> limit = accounts.account(account).flatMap(ClientAccount::limit);
        List<DaemonName> ordered = AccountOwners.order(group, account, owners);
        if (AccountOwners.hasOwnerInEachDomain(
                limit, accounts.totalRate(), snapshot.sharedConnections(group), domains(snapshot, owners))) {
            return untilThisDaemon(snapshot, inThisDomainFirst(snapshot, ordered));
        }
        int count = Math.min(ordered.size(), AccountOwners.count(limit, owners.size()));
        int own = ordered.indexOf(daemon);
        if (own >= 0 && own < count) {
            return List.of();
        }
        List<Peer> candidates = new ArrayList<>(inRandomOrder(peers(snapshot, ordered.subList(0, count))));
        candidates.addAll(peers(snapshot, ordered.subList(count, own < 0 ? ordered.size() : own)));
        return candidates;
    }

    private static int domains(FleetSnapshot snapshot, List<DaemonName> owners) {
        return (int) owners.stream()
                .map(owner -> snapshot.peers().get(owner).failureDomain())
                .distinct()
                .count();
    }

    private List<DaemonName> inThisDomainFirst(FleetSnapshot snapshot, List<DaemonName> names) {
        List<DaemonName> sorted = new ArrayList<>(names);
        sorted.sort(Comparator.comparing(
                name -> !snapshot.peers().get(name).failureDomain().equals(domain)));
        return sorted;
    }

    private List<Peer> untilThisDaemon(FleetSnapshot snapshot, List<DaemonName> ordered) {
        int own = ordered.indexOf(daemon);
        return peers(snapshot, own < 0 ? ordered : ordered.subList(0, own));
    }

    private static List<Peer> peers(FleetSnapshot snapshot, List<DaemonName> names) {
        List<Peer> peers = new ArrayList<>();
        names.forEach(name -> peers.add(snapshot.peers().get(name)));
        return peers;
    }

    /** Shuffles the peers, and moves those in this daemon's failure domain to the front. */
    private List<Peer> inRandomOrder(List<Peer> peers) {
        Collections.shuffle(peers, random);
        peers.sort(Comparator.comparing(peer -> !peer.failureDomain().equals(domain)));
        return peers;
    }
}
