package org.lavenderwick.core.propagation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

import static org.assertj.core.api.Assertions.assertThat;

class WatcherSelectionTest {

    private static Map<DaemonName, FailureDomain> domain(String name, int size) {
        Map<DaemonName, FailureDomain> daemons = new HashMap<>();
        for (int index = 1; index <= size; index++) {
            daemons.put(DaemonName.of(name + index), FailureDomain.of(name));
        }
        return daemons;
    }

    private static List<DaemonName> watchers(Map<DaemonName, FailureDomain> daemons) {
        return daemons.keySet().stream()
                .filter(daemon -> WatcherSelection.select(daemon, daemons).watcher())
                .toList();
    }

    @Test
    void selectsAllDaemonsOfASmallDomain() {
        Map<DaemonName, FailureDomain> daemons = domain("a", WatcherSelection.WATCHERS_PER_DOMAIN);
        daemons.putAll(domain("b", 9));
        assertThat(WatcherSelection.select(DaemonName.of("a1"), daemons).watcher())
                .isTrue();
        assertThat(WatcherSelection.select(DaemonName.of("a2"), daemons).watcher())
                .isTrue();
    }

    @Test
    void selectsTheSameWatchersForAllDaemonsOfALargeDomain() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 20);
        List<DaemonName> watching = watchers(daemons);
        assertThat(watching).hasSize(WatcherSelection.WATCHERS_PER_DOMAIN);
        daemons.keySet().stream().filter(daemon -> !watching.contains(daemon)).forEach(daemon -> {
            List<DaemonName> feeds = WatcherSelection.select(daemon, daemons).feeds();
            assertThat(feeds.subList(0, watching.size())).containsExactlyInAnyOrderElementsOf(watching);
            assertThat(feeds).doesNotContain(daemon).doesNotHaveDuplicates();
        });
    }

    @Test
    void ordersTheWatchersDifferentlyForDifferentDaemons() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 20);
        long orders = daemons.keySet().stream()
                .map(daemon -> WatcherSelection.select(daemon, daemons))
                .filter(selection -> !selection.watcher())
                .map(selection -> selection.feeds().subList(0, WatcherSelection.WATCHERS_PER_DOMAIN))
                .distinct()
                .count();
        assertThat(orders).isEqualTo(2);
    }

    @Test
    void prefersTheWatchersOfTheOwnFailureDomain() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 20);
        daemons.putAll(domain("b", 20));
        daemons.putAll(domain("c", 20));
        daemons.keySet().forEach(daemon -> {
            WatcherSelection.Selection selection = WatcherSelection.select(daemon, daemons);
            if (!selection.watcher()) {
                assertThat(selection.feeds())
                        .hasSize(3 * WatcherSelection.WATCHERS_PER_DOMAIN + WatcherSelection.OTHER_FEEDS);
                assertThat(selection.feeds().subList(0, WatcherSelection.WATCHERS_PER_DOMAIN))
                        .allMatch(feed -> daemons.get(feed).equals(daemons.get(daemon)));
            }
        });
    }

    /** A failure domain that loses the store must not leave a watcher without a feed that still has it. */
    @Test
    void watchersFormOneRingWhoseNeighboursAreInDifferentDomains() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 20);
        daemons.putAll(domain("b", 20));
        daemons.putAll(domain("c", 20));
        List<DaemonName> watching = watchers(daemons);
        DaemonName current = watching.get(0);
        for (int step = 0; step < watching.size(); step++) {
            DaemonName next = WatcherSelection.select(current, daemons).feeds().get(0);
            assertThat(daemons.get(next)).isNotEqualTo(daemons.get(current));
            current = next;
            assertThat(current.equals(watching.get(0))).isEqualTo(step == watching.size() - 1);
        }
    }

    @Test
    void daemonWithoutOthersWatchesTheStore() {
        Map<DaemonName, FailureDomain> alone = domain("a", 1);
        WatcherSelection.Selection selection = WatcherSelection.select(DaemonName.of("a1"), alone);
        assertThat(selection.watcher()).isTrue();
        assertThat(selection.feeds()).isEmpty();
    }
}
