package org.lavenderwick.daemon.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.session.Peer;

import static org.assertj.core.api.Assertions.assertThat;

class WatchersTest {

    private static Map<DaemonName, Peer> domain(String name, int size) {
        Map<DaemonName, Peer> peers = new HashMap<>();
        for (int index = 1; index <= size; index++) {
            peers.put(
                    DaemonName.of(name + index),
                    new Peer(
                            FailureDomain.of(name),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1000 + index)));
        }
        return peers;
    }

    @Test
    void areAllDaemonsOfASmallDomain() {
        Map<DaemonName, Peer> peers = domain("a", Watchers.PER_DOMAIN);
        peers.putAll(domain("b", 9));
        assertThat(Watchers.of(DaemonName.of("a1"), peers)).isEmpty();
        assertThat(Watchers.of(DaemonName.of("a2"), peers)).isEmpty();
    }

    @Test
    void areTheSameFewForAllOthersOfALargeDomain() {
        Map<DaemonName, Peer> peers = domain("a", 20);
        List<DaemonName> watching = peers.keySet().stream()
                .filter(daemon -> Watchers.of(daemon, peers).isEmpty())
                .toList();
        assertThat(watching).hasSize(Watchers.PER_DOMAIN);
        List<Peer> expected = watching.stream().map(peers::get).toList();
        peers.keySet().stream()
                .filter(daemon -> !watching.contains(daemon))
                .forEach(
                        daemon -> assertThat(Watchers.of(daemon, peers)).containsExactlyInAnyOrderElementsOf(expected));
    }

    @Test
    void areFollowedInBothOrders() {
        Map<DaemonName, Peer> peers = domain("a", 20);
        long orders = peers.keySet().stream()
                .map(daemon -> Watchers.of(daemon, peers))
                .filter(watchers -> !watchers.isEmpty())
                .distinct()
                .count();
        assertThat(orders).isEqualTo(2);
    }

    @Test
    void areUnknownToADaemonWithoutAnEntry() {
        assertThat(Watchers.of(DaemonName.of("a9"), domain("a", 5))).isEmpty();
    }
}
