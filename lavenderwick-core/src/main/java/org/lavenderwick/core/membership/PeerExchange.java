package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.FailureDomain;

/**
 * Chooses with which peers a daemon exchanges digests and news. Each round goes to {@value #FANOUT} random peers,
 * {@value #OWN_DOMAIN_SHARE} of them in the own failure domain where it has that many, so that a seat table reaches a
 * former holder of a seat fast, and the rest elsewhere, so that news crosses failure domains. News is pushed at once in
 * the same way.
 *
 * <p>The caller runs a round every {@link #ROUND_INTERVAL}, calls {@link #push} when it installs a newer document, and
 * reports each digest it receives. Until a seat table names other daemons, the seed addresses are the peers. Memory is
 * linear in the number of seats. Confined to the control thread.
 */
public final class PeerExchange {

    /** Time between two rounds. */
    public static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

    /** Number of peers contacted in each round and on each push. */
    public static final int FANOUT = 3;

    /** Number of contacted peers that are in the own failure domain, where it has that many. */
    public static final int SAME_DOMAIN_FANOUT = 2;

    private final String ownAddress;
    private final FailureDomain ownDomain;
    private final ImmutableSet<String> seeds;
    private final RandomGenerator random;
    private final Map<String, Digest> knownDigests = new HashMap<>();
    private ImmutableList<String> nearPeers = ImmutableList.of();
    private ImmutableList<String> farPeers = ImmutableList.of();

    private PeerExchange(String ownAddress, FailureDomain ownDomain, Collection<String> seeds, RandomGenerator random) {
        this.ownAddress = ownAddress;
        this.ownDomain = ownDomain;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(ownAddress)).collect(ImmutableSet.toImmutableSet());
        this.random = random;
        onSeatTable(SeatTable.empty());
    }

    /** Returns an exchange for the daemon at the given address and failure domain. */
    public static PeerExchange create(
            String ownAddress, FailureDomain ownDomain, Collection<String> seeds, RandomGenerator random) {
        return new PeerExchange(ownAddress, ownDomain, seeds, random);
    }

    /** Takes the peers from a newly installed seat table. Seeds that the table does not name stay peers. */
    public void onSeatTable(SeatTable table) {
        Set<String> near = new LinkedHashSet<>();
        Set<String> far = new LinkedHashSet<>();
        for (Seat seat : table.seats()) {
            if (!seat.address().equals(ownAddress)) {
                (seat.failureDomain().equals(ownDomain) ? near : far).add(seat.address());
            }
        }
        for (String seed : seeds) {
            if (!near.contains(seed)) {
                far.add(seed);
            }
        }
        nearPeers = ImmutableList.copyOf(near);
        farPeers = ImmutableList.copyOf(far);
        knownDigests.keySet().removeIf(address -> !near.contains(address) && !far.contains(address));
    }

    /** Records the digest that a peer stated in a request or an answer. Digests of unknown peers are dropped. */
    public void onDigest(String address, Digest digest) {
        if (nearPeers.contains(address) || farPeers.contains(address)) {
            knownDigests.put(address, digest);
        }
    }

    /** Returns the exchanges of a regular round. A peer that is known to be behind gets the news with the request. */
    public List<OutgoingExchange> round(Digest own) {
        return contacts(nearPeers, farPeers, own);
    }

    /** Returns the exchanges that spread a newly installed document. Peers known to have it are left out. */
    public List<OutgoingExchange> push(Digest own) {
        return contacts(behind(nearPeers, own), behind(farPeers, own), own);
    }

    /**
     * Records the digest in a peer's answer and returns one more exchange if the peer lacks a document that the request
     * did not carry.
     */
    public Optional<OutgoingExchange> onResponse(OutgoingExchange contact, Digest peer, Digest own) {
        onDigest(contact.address(), peer);
        DocumentSelection missing = DocumentSelection.between(own, peer);
        boolean alreadySent = contact.documents().configurationSince().isPresent()
                        && contact.documents().seatTable()
                || !contact.documents().isEmpty() && missing.equals(contact.documents());
        return missing.isEmpty() || alreadySent
                ? Optional.empty()
                : Optional.of(new OutgoingExchange(contact.address(), missing));
    }

    /** Returns the number of known peers. */
    public int peerCount() {
        return nearPeers.size() + farPeers.size();
    }

    private List<String> behind(List<String> peers, Digest own) {
        return peers.stream()
                .filter(peer -> knownDigests.getOrDefault(peer, Digest.NONE).isBehind(own))
                .toList();
    }

    private List<OutgoingExchange> contacts(List<String> near, List<String> far, Digest own) {
        int nearCount = Math.min(near.size(), Math.max(SAME_DOMAIN_FANOUT, FANOUT - far.size()));
        int farCount = Math.min(far.size(), FANOUT - nearCount);
        List<OutgoingExchange> contacts = new ArrayList<>(FANOUT);
        pick(near, nearCount, own, contacts);
        pick(far, farCount, own, contacts);
        return contacts;
    }

    private void pick(List<String> peers, int count, Digest own, List<OutgoingExchange> contacts) {
        Set<Integer> chosen = new LinkedHashSet<>();
        while (chosen.size() < count) {
            chosen.add(random.nextInt(peers.size()));
        }
        for (int index : chosen) {
            String address = peers.get(index);
            Digest known = knownDigests.get(address);
            contacts.add(new OutgoingExchange(address, known == null ? DocumentSelection.NONE : unasked(own, known)));
        }
    }

    /**
     * Returns the news that goes out before the peer stated its present digest. The seat table takes about 87 bytes a
     * seat, and most peers have received it from others since they were last heard of, so it waits for the peer's
     * answer unless the peer had no table at all.
     */
    private static DocumentSelection unasked(Digest own, Digest known) {
        DocumentSelection plan = DocumentSelection.between(own, known);
        return new DocumentSelection(plan.configurationSince(), plan.seatTable() && known.seatTableVersion() == 0);
    }
}
