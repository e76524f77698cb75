package org.lavenderwick.core.propagation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

import static org.assertj.core.api.Assertions.assertThat;

class SourceSelectionTest {

    /** Heads of {@link #largeFleet}: the lowest multiple of its three domains that is at least the minimum. */
    private static final int HEADS_OF_LARGE_FLEET = 9;

    private static Map<DaemonName, FailureDomain> domain(String name, int size) {
        Map<DaemonName, FailureDomain> daemons = new HashMap<>();
        for (int index = 1; index <= size; index++) {
            daemons.put(DaemonName.of(name + index), FailureDomain.of(name));
        }
        return daemons;
    }

    private static Map<DaemonName, FailureDomain> largeFleet() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 20);
        daemons.putAll(domain("b", 20));
        daemons.putAll(domain("c", 20));
        return daemons;
    }

    private static List<DaemonName> withRole(Map<DaemonName, FailureDomain> daemons, Set<StoreRole> roles) {
        return daemons.keySet().stream()
                .filter(daemon ->
                        roles.contains(SourceSelection.select(daemon, daemons).role()))
                .toList();
    }

    private static List<DaemonName> heads(Map<DaemonName, FailureDomain> daemons) {
        return withRole(daemons, Set.of(StoreRole.WATCHER, StoreRole.STANDBY));
    }

    @Test
    void aFewDaemonsOfDifferentDomainsWatch() {
        Map<DaemonName, FailureDomain> daemons = largeFleet();
        List<DaemonName> watchers = withRole(daemons, Set.of(StoreRole.WATCHER));
        assertThat(watchers).hasSize(SourceSelection.WATCHERS);
        assertThat(watchers.stream().map(daemons::get).distinct()).hasSize(3);
    }

    @Test
    void allDaemonsOfASmallDomainAreHeads() {
        Map<DaemonName, FailureDomain> daemons = domain("a", SourceSelection.MIN_HEADS_PER_DOMAIN);
        daemons.putAll(domain("b", 9));
        assertThat(heads(daemons)).contains(DaemonName.of("a1"), DaemonName.of("a2"));
    }

    @Test
    void selectsTheSameHeadsForAllDaemonsOfALargeDomain() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 20);
        List<DaemonName> heads = heads(daemons);
        assertThat(heads).hasSize(SourceSelection.MIN_HEADS);
        daemons.keySet().stream().filter(daemon -> !heads.contains(daemon)).forEach(daemon -> {
            List<DaemonName> feeds = SourceSelection.select(daemon, daemons).feeds();
            assertThat(feeds.subList(0, heads.size())).containsExactlyInAnyOrderElementsOf(heads);
            assertThat(feeds).doesNotContain(daemon).doesNotHaveDuplicates();
        });
    }

    /** Guards against a head whose feed most of the fleet reads. */
    @Test
    void eachHeadIsPreferredByAboutAsManyDaemonsAsAnyOther() {
        Map<DaemonName, FailureDomain> daemons = domain("a", 400);
        Map<DaemonName, Long> readers = withRole(daemons, Set.of(StoreRole.FOLLOWER)).stream()
                .collect(Collectors.groupingBy(
                        daemon ->
                                SourceSelection.select(daemon, daemons).feeds().get(0),
                        Collectors.counting()));
        assertThat(readers).hasSize(SourceSelection.MIN_HEADS);
        assertThat(readers.values()).allMatch(count -> count <= 2 * 392 / SourceSelection.MIN_HEADS);
    }

    @Test
    void followersPreferTheHeadsOfTheirFailureDomain() {
        Map<DaemonName, FailureDomain> daemons = largeFleet();
        withRole(daemons, Set.of(StoreRole.FOLLOWER)).forEach(daemon -> {
            List<DaemonName> feeds = SourceSelection.select(daemon, daemons).feeds();
            assertThat(feeds).hasSize(HEADS_OF_LARGE_FLEET + SourceSelection.OTHER_FEEDS);
            assertThat(feeds.subList(0, HEADS_OF_LARGE_FLEET / 3))
                    .allMatch(feed -> daemons.get(feed).equals(daemons.get(daemon)));
        });
    }

    /** A failure domain that loses the store must not leave a head without a feed that still has it. */
    @Test
    void headsReadTheFeedsOfWatchersInTurn() {
        Map<DaemonName, FailureDomain> daemons = largeFleet();
        List<DaemonName> watchers = withRole(daemons, Set.of(StoreRole.WATCHER));
        heads(daemons).forEach(head -> {
            List<DaemonName> first =
                    SourceSelection.select(head, daemons).feeds().subList(0, SourceSelection.WATCHERS - 1);
            assertThat(watchers).containsAll(first);
        });
        watchers.forEach(watcher -> {
            DaemonName next = SourceSelection.select(watcher, daemons).feeds().get(0);
            assertThat(daemons.get(next)).isNotEqualTo(daemons.get(watcher));
        });
    }

    @Test
    void daemonWithoutOthersWatchesTheStore() {
        Map<DaemonName, FailureDomain> alone = domain("a", 1);
        SourceSelection.Selection selection = SourceSelection.select(DaemonName.of("a1"), alone);
        assertThat(selection.role()).isEqualTo(StoreRole.WATCHER);
        assertThat(selection.feeds()).isEmpty();
    }
}
