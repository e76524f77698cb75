package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.dispatch.AccountOwners;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

class RelayCandidatesTest {

    private static final GroupName GROUP = GroupName.of("db");
    private static final AccountName SMALL = AccountName.of("small");
    private static final AccountName LARGE = AccountName.of("large");
    private static final AccountName WIDE = AccountName.of("wide");
    private static final int DAEMONS = 30;

    private final Map<DaemonName, Peer> peers = new HashMap<>();
    private final FleetSnapshot snapshot = snapshot(AccountDirectory.of(List.of(
            new ClientAccount(SMALL, 0, Optional.empty(), Set.of()),
            new ClientAccount(LARGE, 0, Optional.of(new RateLimit(1_400, 10)), Set.of()),
            new ClientAccount(WIDE, 0, Optional.of(new RateLimit(20_000, 10)), Set.of()))));
    private final List<DaemonName> owners = snapshot.owners(GROUP);

    private FleetSnapshot snapshot(AccountDirectory accounts) {
        for (int number = 0; number < DAEMONS; number++) {
            peers.put(
                    DaemonName.of("d" + number),
                    new Peer(FailureDomain.of("z" + number % 3), new InetSocketAddress("127.0.0.1", 1_000 + number)));
        }
        EndpointEntry endpoint = new EndpointEntry(
                EndpointName.of("db-1"),
                GROUP,
                new InetSocketAddress("127.0.0.1", 1),
                FailureDomain.of("z1"),
                6,
                false,
                EndpointRole.PRIMARY);
        return FleetSnapshot.of(
                Optional.of(new Catalog(1, Map.of(), Map.of(GROUP, 66), Duration.ofMinutes(1), accounts)),
                Map.of(endpoint.name(), endpoint),
                peers);
    }

    private List<Peer> candidates(DaemonName daemon, AccountName account) {
        return new RelayCandidates(daemon, peers.get(daemon).failureDomain(), new Random(1))
                .find(snapshot, GROUP, Optional.of(account), owners);
    }

    private List<Peer> peersOf(List<DaemonName> names) {
        return names.stream().map(peers::get).toList();
    }

    @Test
    void ownersAreFewerWithAccountsThanWithout() {
        assertThat(owners).hasSize(7);
        assertThat(snapshot(AccountDirectory.EMPTY).owners(GROUP)).hasSize(21);
    }

    /** Guards against the statements of one account being spread over several daemons, each with own connections. */
    @Test
    void allDaemonsRelayAnAccountToItsOwnerWhichServesItItself() {
        List<DaemonName> order = AccountOwners.order(GROUP, SMALL, owners);
        for (DaemonName daemon : peers.keySet()) {
            int place = order.indexOf(daemon);
            assertThat(candidates(daemon, SMALL))
                    .isEqualTo(peersOf(order.subList(0, place < 0 ? order.size() : place)));
        }
    }

    @Test
    void ownFailureDomainComesFirstOnlyAmongTheOwnersOfTheAccount() {
        List<DaemonName> order = AccountOwners.order(GROUP, LARGE, owners);
        for (DaemonName daemon : peers.keySet()) {
            List<Peer> found = candidates(daemon, LARGE);
            if (order.subList(0, 3).contains(daemon)) {
                assertThat(found).isEmpty();
                continue;
            }
            List<Peer> first = found.subList(0, 3);
            assertThat(first).containsExactlyInAnyOrderElementsOf(peersOf(order.subList(0, 3)));
            assertThat(first.stream()
                            .map(peer -> !peer.failureDomain()
                                    .equals(peers.get(daemon).failureDomain())))
                    .isSorted();
        }
    }

    /** Guards against a cut-off failure domain that breaks sessions of large accounts in the other domains. */
    @Test
    void accountThatFillsConnectionsInEachDomainIsServedInTheCallersDomain() {
        for (DaemonName daemon : peers.keySet()) {
            Peer self = peers.get(daemon);
            List<Peer> found = candidates(daemon, WIDE);
            boolean isFirstOfItsDomain = owners.contains(daemon) && found.isEmpty();
            assertThat(isFirstOfItsDomain || found.get(0).failureDomain().equals(self.failureDomain()))
                    .isTrue();
        }
    }
}
