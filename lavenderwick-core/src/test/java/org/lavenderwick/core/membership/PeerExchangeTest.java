package org.lavenderwick.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerExchangeTest {

    private static final Digest OLD = Digest.of(1, 1);
    private static final Digest NEW = Digest.of(2, 1);

    private final SeatTable table = SeatTableFixtures.of(6, 120);

    /** Returns the number of rounds until a document that one daemon has reaches all live daemons, at most 100. */
    private int roundsUntilAllUpToDate(Predicate<Seat> alive) {
        Random random = new Random(17);
        Map<String, PeerExchange> peers = new HashMap<>();
        Map<String, Digest> digests = new HashMap<>();
        for (Seat seat : table.seats()) {
            if (alive.test(seat)) {
                PeerExchange peer = PeerExchange.create(seat.address(), seat.failureDomain(), Set.of(), random);
                peer.onSeatTable(table);
                peers.put(seat.address(), peer);
                digests.put(seat.address(), OLD);
            }
        }
        digests.put(digests.keySet().iterator().next(), NEW);
        int rounds = 0;
        while (digests.containsValue(OLD) && rounds < 100) {
            rounds++;
            Map<String, Digest> before = Map.copyOf(digests);
            peers.forEach((address, peer) -> peer.round(before.get(address)).stream()
                    .map(OutgoingExchange::address)
                    .filter(peers::containsKey)
                    .forEach(other -> {
                        digests.merge(other, before.get(address), Digest::merge);
                        digests.merge(address, before.get(other), Digest::merge);
                    }));
        }
        return rounds;
    }

    @Nested
    class Rounds {

        /** Guards against a document that takes more than the 10 s of guarantee P9 to reach 720 daemons. */
        @Test
        void reachEveryDaemonWithinTenRounds() {
            assertThat(roundsUntilAllUpToDate(seat -> true)).isLessThanOrEqualTo(8);
        }

        /** Guards against a document that does not spread because the seat table still contains dead daemons. */
        @Test
        void reachEveryLiveDaemonWhenHalfAreDead() {
            assertThat(roundsUntilAllUpToDate(seat -> seat.number() % 2 == 0)).isLessThanOrEqualTo(10);
        }

        /** Guards against rounds that contact only peers in the same failure domain, or none of them. */
        @Test
        void contactSameAndOtherFailureDomains() {
            Seat own = SeatTableFixtures.seat(3, 1);
            PeerExchange peer = PeerExchange.create(own.address(), own.failureDomain(), Set.of(), new Random(1));
            peer.onSeatTable(table);

            for (int round = 0; round < 50; round++) {
                Set<String> addresses =
                        peer.round(OLD).stream().map(OutgoingExchange::address).collect(Collectors.toSet());
                assertThat(addresses).hasSize(PeerExchange.FANOUT).doesNotContain(own.address());
                assertThat(addresses.stream().filter(address -> address.startsWith("127.0.3.")))
                        .hasSize(PeerExchange.SAME_DOMAIN_FANOUT);
            }
        }

        /** Guards against a daemon that contacts no peers while it has no seat table, or that contacts itself. */
        @Test
        void contactSeedsBeforeASeatTableIsInstalled() {
            PeerExchange peer = PeerExchange.create(
                    "127.0.1.1:1", SeatTableFixtures.domain(1), List.of("127.0.1.1:1", "a:1"), new Random(1));

            assertThat(peer.round(Digest.NONE)).containsExactly(new OutgoingExchange("a:1", DocumentSelection.NONE));
            assertThat(PeerExchange.create("a:1", SeatTableFixtures.domain(1), List.of(), new Random(1))
                            .round(Digest.NONE))
                    .isEmpty();
        }
    }

    @Nested
    class PushedDocuments {

        private final PeerExchange peer =
                PeerExchange.create("127.0.1.1:1", SeatTableFixtures.domain(1), List.of(), new Random(1));

        PushedDocuments() {
            peer.onSeatTable(SeatTableFixtures.of(1, 4));
        }

        /** Guards against documents that are pushed to peers that have them, or not pushed to peers that lack them. */
        @Test
        void areSentToPeersThatAreBehind() {
            peer.onDigest("127.0.1.2:1", NEW);
            peer.onDigest("127.0.1.3:1", OLD);
            peer.onDigest("127.0.1.4:1", Digest.NONE);

            assertThat(peer.push(NEW))
                    .containsExactlyInAnyOrder(
                            new OutgoingExchange("127.0.1.3:1", new DocumentSelection(OptionalLong.of(1), false)),
                            new OutgoingExchange("127.0.1.4:1", new DocumentSelection(OptionalLong.of(0), true)));
        }

        /** Guards against a peer that stays behind because its digest was unknown, and against endless exchanges. */
        @Test
        void followWhenTheResponseShowsThatThePeerIsBehind() {
            OutgoingExchange first = new OutgoingExchange("127.0.1.3:1", DocumentSelection.NONE);
            OutgoingExchange second = peer.onResponse(first, OLD, NEW).orElseThrow();

            assertThat(second.documents()).isEqualTo(new DocumentSelection(OptionalLong.of(1), false));
            assertThat(peer.onResponse(second, OLD, NEW)).isEmpty();
            assertThat(peer.onResponse(first, NEW, NEW)).isEmpty();
        }

        /** Guards against memory use that grows with the addresses of former peers. */
        @Test
        void areNotBasedOnDigestsOfFormerPeers() {
            peer.onDigest("127.0.1.3:1", OLD);
            peer.onSeatTable(SeatTableFixtures.of(1, 2));
            peer.onSeatTable(SeatTableFixtures.of(1, 4));

            assertThat(peer.push(NEW)).contains(new OutgoingExchange("127.0.1.3:1", DocumentSelection.NONE));
        }
    }
}
