package org.lavenderwick.daemon.session;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.RateLimit;
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
     * <p>A session of an account is relayed to an owner of the account, preferably in this daemon's failure domain, and
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
        Optional<RateLimit> limit = snapshot.catalog()
                .flatMap(catalog -> catalog.accounts().account(account))
                .flatMap(ClientAccount::limit);
        List<DaemonName> ordered = AccountOwners.order(group, account, owners);
        int count = Math.min(ordered.size(), AccountOwners.count(limit, owners.size()));
        int own = ordered.indexOf(daemon);
        if (own >= 0 && own < count) {
            return List.of();
        }
        List<Peer> candidates = new ArrayList<>(inRandomOrder(peers(snapshot, ordered.subList(0, count))));
        candidates.addAll(peers(snapshot, ordered.subList(count, own < 0 ? ordered.size() : own)));
        return candidates;
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
