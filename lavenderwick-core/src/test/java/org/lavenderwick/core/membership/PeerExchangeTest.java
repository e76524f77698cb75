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

    private final SeatTable table = Tables.of(6, 120);

    /** A fleet in which only one daemon has the news; returns the rounds until all reachable ones have it. */
    private int roundsUntilAllKnow(Predicate<Seat> alive) {
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

        /** Guards against news that takes more than the 10 s of guarantee P9 to reach 720 daemons. */
        @Test
        void reachEveryDaemonWithinTenRounds() {
            assertThat(roundsUntilAllKnow(seat -> true)).isLessThanOrEqualTo(8);
        }

        /** Guards against news that stops at dead daemons the table still names. */
        @Test
        void reachEveryLiveDaemonWhenHalfAreDead() {
            assertThat(roundsUntilAllKnow(seat -> seat.number() % 2 == 0)).isLessThanOrEqualTo(10);
        }

        /** Guards against rounds that never leave the own failure domain or never visit it. */
        @Test
        void visitOwnAndOtherFailureDomains() {
            Seat own = Tables.seat(3, 1);
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

        /** Guards against a daemon without a seat table that finds no peer, and against one that is its own peer. */
        @Test
        void useSeedsBeforeThereIsATable() {
            PeerExchange peer =
                    PeerExchange.create("127.0.1.1:1", Tables.domain(1), List.of("127.0.1.1:1", "a:1"), new Random(1));

            assertThat(peer.round(Digest.NONE)).containsExactly(new OutgoingExchange("a:1", DocumentSelection.NONE));
            assertThat(PeerExchange.create("a:1", Tables.domain(1), List.of(), new Random(1))
                            .round(Digest.NONE))
                    .isEmpty();
        }
    }

    @Nested
    class News {

        private final PeerExchange peer =
                PeerExchange.create("127.0.1.1:1", Tables.domain(1), List.of(), new Random(1));

        News() {
            peer.onSeatTable(Tables.of(1, 4));
        }

        /** Guards against news that is sent to peers which have it, and against news that is not sent at once. */
        @Test
        void isPushedToPeersThatAreBehind() {
            peer.onDigest("127.0.1.2:1", NEW);
            peer.onDigest("127.0.1.3:1", OLD);
            peer.onDigest("127.0.1.4:1", Digest.NONE);

            assertThat(peer.push(NEW))
                    .containsExactlyInAnyOrder(
                            new OutgoingExchange("127.0.1.3:1", new DocumentSelection(OptionalLong.of(1), false)),
                            new OutgoingExchange("127.0.1.4:1", new DocumentSelection(OptionalLong.of(0), true)));
        }

        /** Guards against a peer that stays behind because nothing was known of it, and against endless repetition. */
        @Test
        void followsWhenTheAnswerShowsThatThePeerIsBehind() {
            OutgoingExchange first = new OutgoingExchange("127.0.1.3:1", DocumentSelection.NONE);
            OutgoingExchange second = peer.onResponse(first, OLD, NEW).orElseThrow();

            assertThat(second.documents()).isEqualTo(new DocumentSelection(OptionalLong.of(1), false));
            assertThat(peer.onResponse(second, OLD, NEW)).isEmpty();
            assertThat(peer.onResponse(first, NEW, NEW)).isEmpty();
        }

        /** Guards against memory that grows with addresses that are no peers. */
        @Test
        void forgetsPeersThatLeft() {
            peer.onDigest("127.0.1.3:1", OLD);
            peer.onSeatTable(Tables.of(1, 2));
            peer.onSeatTable(Tables.of(1, 4));

            assertThat(peer.push(NEW)).contains(new OutgoingExchange("127.0.1.3:1", DocumentSelection.NONE));
        }
    }
}
