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
 * The peer selection of the gossip between daemons. It chooses the peers that this daemon contacts and the documents
 * that it sends to each of them.
 *
 * <p>Each round contacts {@value #FANOUT} random peers. If possible, {@value #SAME_DOMAIN_FANOUT} are in the failure
 * domain of this daemon, so that the former holder of a seat soon receives the new seat table. The others are in
 * different failure domains, so that documents spread between failure domains. A newly installed document is pushed to
 * peers that are selected in the same way.
 *
 * <p>The caller runs a round every {@link #ROUND_INTERVAL}, calls {@link #push} whenever it installs a newer document,
 * and reports every digest that it receives. The peers are the daemons in the seat table and the seed addresses. Memory
 * use is linear in the number of peers. Confined to the control thread.
 */
public final class PeerExchange {

    /** Interval between rounds. */
    public static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

    /** Number of peers contacted in each round and by each push. */
    public static final int FANOUT = 3;

    /** Number of contacted peers that are in the same failure domain, if it has that many. */
    public static final int SAME_DOMAIN_FANOUT = 2;

    private final String ownAddress;
    private final FailureDomain ownDomain;
    private final ImmutableSet<String> seeds;
    private final RandomGenerator random;
    private final Map<String, Digest> knownDigests = new HashMap<>();
    private ImmutableList<String> sameDomainPeers = ImmutableList.of();
    private ImmutableList<String> otherPeers = ImmutableList.of();

    private PeerExchange(String ownAddress, FailureDomain ownDomain, Collection<String> seeds, RandomGenerator random) {
        this.ownAddress = ownAddress;
        this.ownDomain = ownDomain;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(ownAddress)).collect(ImmutableSet.toImmutableSet());
        this.random = random;
        onSeatTable(SeatTable.empty());
    }

    /** Returns a peer exchange for the daemon at the given address and in the given failure domain. */
    public static PeerExchange create(
            String ownAddress, FailureDomain ownDomain, Collection<String> seeds, RandomGenerator random) {
        return new PeerExchange(ownAddress, ownDomain, seeds, random);
    }

    /** Replaces the peers with the daemons in a newly installed seat table. The seed addresses remain peers. */
    public void onSeatTable(SeatTable table) {
        Set<String> sameDomain = new LinkedHashSet<>();
        Set<String> others = new LinkedHashSet<>();
        for (Seat seat : table.seats()) {
            if (!seat.address().equals(ownAddress)) {
                (seat.failureDomain().equals(ownDomain) ? sameDomain : others).add(seat.address());
            }
        }
        for (String seed : seeds) {
            if (!sameDomain.contains(seed)) {
                others.add(seed);
            }
        }
        sameDomainPeers = ImmutableList.copyOf(sameDomain);
        otherPeers = ImmutableList.copyOf(others);
        knownDigests.keySet().removeIf(address -> !sameDomain.contains(address) && !others.contains(address));
    }

    /** Records the digest in a request or response of a peer. Digests from addresses that are not peers are ignored. */
    public void onDigest(String address, Digest digest) {
        if (sameDomainPeers.contains(address) || otherPeers.contains(address)) {
            knownDigests.put(address, digest);
        }
    }

    /** Returns the exchanges of a regular round. Requests to peers known to be behind may contain documents. */
    public List<OutgoingExchange> round(Digest own) {
        return selectExchanges(sameDomainPeers, otherPeers, own);
    }

    /** Returns the exchanges that push a newly installed document. Skips peers that are known to have it. */
    public List<OutgoingExchange> push(Digest own) {
        return selectExchanges(peersBehind(sameDomainPeers, own), peersBehind(otherPeers, own), own);
    }

    /**
     * Records the digest in the response of a peer, and returns a second exchange if the peer lacks a document that the
     * request did not contain.
     */
    public Optional<OutgoingExchange> onResponse(OutgoingExchange exchange, Digest peer, Digest own) {
        onDigest(exchange.address(), peer);
        DocumentSelection missing = DocumentSelection.between(own, peer);
        boolean alreadySent = exchange.documents().configurationSince().isPresent()
                        && exchange.documents().seatTable()
                || !exchange.documents().isEmpty() && missing.equals(exchange.documents());
        return missing.isEmpty() || alreadySent
                ? Optional.empty()
                : Optional.of(new OutgoingExchange(exchange.address(), missing));
    }

    /** Returns the number of peers. */
    public int peerCount() {
        return sameDomainPeers.size() + otherPeers.size();
    }

    private List<String> peersBehind(List<String> peers, Digest own) {
        return peers.stream()
                .filter(peer -> knownDigests.getOrDefault(peer, Digest.NONE).isBehind(own))
                .toList();
    }

    private List<OutgoingExchange> selectExchanges(List<String> sameDomain, List<String> others, Digest own) {
        int sameDomainCount = Math.min(sameDomain.size(), Math.max(SAME_DOMAIN_FANOUT, FANOUT - others.size()));
        int otherCount = Math.min(others.size(), FANOUT - sameDomainCount);
        List<OutgoingExchange> exchanges = new ArrayList<>(FANOUT);
        addRandomPeers(sameDomain, sameDomainCount, own, exchanges);
        addRandomPeers(others, otherCount, own, exchanges);
        return exchanges;
    }

    private void addRandomPeers(List<String> peers, int count, Digest own, List<OutgoingExchange> exchanges) {
        Set<Integer> chosen = new LinkedHashSet<>();
        while (chosen.size() < count) {
            chosen.add(random.nextInt(peers.size()));
        }
        for (int index : chosen) {
            String address = peers.get(index);
            Digest known = knownDigests.get(address);
            exchanges.add(new OutgoingExchange(
                    address, known == null ? DocumentSelection.NONE : unsolicitedDocuments(own, known)));
        }
    }

    /**
     * Returns the documents to send before the peer has reported its current digest. The seat table is sent only if the
     * peer had none in its last known digest: it takes about 87 bytes per seat, and most peers have meanwhile received
     * it from other daemons. Otherwise it follows once the peer's response shows that it is needed.
     */
    private static DocumentSelection unsolicitedDocuments(Digest own, Digest known) {
        DocumentSelection selection = DocumentSelection.between(own, known);
        return new DocumentSelection(
                selection.configurationSince(), selection.seatTable() && known.seatTableVersion() == 0);
    }
}
