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

class WatcherSelectionTest {

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
    void selectsAllDaemonsOfASmallDomain() {
        Map<DaemonName, Peer> peers = domain("a", WatcherSelection.WATCHERS_PER_DOMAIN);
        peers.putAll(domain("b", 9));
        assertThat(WatcherSelection.watchersFor(DaemonName.of("a1"), peers)).isEmpty();
        assertThat(WatcherSelection.watchersFor(DaemonName.of("a2"), peers)).isEmpty();
    }

    @Test
    void selectsTheSameWatchersForAllDaemonsOfALargeDomain() {
        Map<DaemonName, Peer> peers = domain("a", 20);
        List<DaemonName> watching = peers.keySet().stream()
                .filter(daemon -> WatcherSelection.watchersFor(daemon, peers).isEmpty())
                .toList();
        assertThat(watching).hasSize(WatcherSelection.WATCHERS_PER_DOMAIN);
        List<Peer> expected = watching.stream().map(peers::get).toList();
        peers.keySet().stream()
                .filter(daemon -> !watching.contains(daemon))
                .forEach(daemon -> assertThat(WatcherSelection.watchersFor(daemon, peers))
                        .containsExactlyInAnyOrderElementsOf(expected));
    }

    @Test
    void ordersTheWatchersDifferentlyForDifferentDaemons() {
        Map<DaemonName, Peer> peers = domain("a", 20);
        long orders = peers.keySet().stream()
                .map(daemon -> WatcherSelection.watchersFor(daemon, peers))
                .filter(watchers -> !watchers.isEmpty())
                .distinct()
                .count();
        assertThat(orders).isEqualTo(2);
    }

    @Test
    void returnsNoWatchersForADaemonWithoutAnEntry() {
        assertThat(WatcherSelection.watchersFor(DaemonName.of("a9"), domain("a", 5)))
                .isEmpty();
    }
}
