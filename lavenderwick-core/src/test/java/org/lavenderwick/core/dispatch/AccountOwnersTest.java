package org.lavenderwick.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how accounts are divided among owners and replicas. */
class AccountOwnersTest {

    private static final GroupName GROUP = GroupName.of("orders");
    private static final List<DaemonName> OWNERS = IntStream.range(0, 7)
            .mapToObj(number -> DaemonName.of("d" + number))
            .toList();

    private static AccountName account(int number) {
        return AccountName.of("a" + number);
    }

    @Nested
    class Owners {

        @Test
        void ofAGroupAreFewerWhileAccountsAreInForce() {
            assertThat(GroupOwners.count(72, 6, 63, true)).isEqualTo(7);
            assertThat(GroupOwners.count(72, 6, 63, false)).isEqualTo(21);
            assertThat(GroupOwners.count(2, 6, 3, true)).isEqualTo(1);
        }

        @Test
        void areInProportionToTheRateLimit() {
            assertThat(AccountOwners.count(Optional.empty(), 7)).isEqualTo(1);
            assertThat(AccountOwners.count(Optional.of(new RateLimit(500, 10)), 7))
                    .isEqualTo(1);
            assertThat(AccountOwners.count(Optional.of(new RateLimit(1100, 10)), 7))
                    .isEqualTo(3);
            assertThat(AccountOwners.count(Optional.of(new RateLimit(90_000, 10)), 7))
                    .isEqualTo(7);
        }

        @Test
        void areEvenlyLoaded() {
            Map<DaemonName, Integer> counts = new HashMap<>();
            for (int number = 0; number < 7_000; number++) {
                counts.merge(AccountOwners.order(GROUP, account(number), OWNERS).get(0), 1, Integer::sum);
            }
            assertThat(counts.values()).allSatisfy(count -> assertThat(count).isBetween(800, 1_200));
        }

        /** Guards against accounts that move between daemons that are both still there. */
        @Test
        void loseOnlyTheAccountsOfTheDaemonThatLeaves() {
            List<DaemonName> remaining = OWNERS.subList(1, OWNERS.size());
            for (int number = 0; number < 100; number++) {
                List<DaemonName> before = AccountOwners.order(GROUP, account(number), OWNERS);
                List<DaemonName> after = AccountOwners.order(GROUP, account(number), remaining);
                assertThat(before).containsSubsequence(after);
            }
        }
    }

    @Nested
    class PreferredReplica {

        private final AccountEndpointSelector selector = AccountEndpointSelector.create(GROUP);
        private final Duration now = Duration.ofSeconds(50);
        private final Optional<AccountName> account = Optional.of(account(1));

        private EndpointLoad load(String name, boolean primary, int inFlight, boolean unresponsive) {
            return new EndpointLoad(EndpointName.of(name), primary, false, inFlight, 6, unresponsive);
        }

        private String select(Optional<AccountName> name, Set<String> idle, EndpointLoad... loads) {
            return selector.select(List.of(loads), 1, name, now, endpoint -> idle.contains(endpoint.value()))
                    .orElseThrow()
                    .name()
                    .value();
        }

        @Test
        void isTheSameForAllStatementsOfASmallAccountAndDiffersBetweenAccounts() {
            Set<String> preferred = new HashSet<>();
            for (int number = 0; number < 30; number++) {
                Optional<AccountName> name = Optional.of(account(number));
                String first = select(name, Set.of(), load("r1", false, 0, false), load("r2", false, 1, false));
                assertThat(select(name, Set.of(), load("r1", false, 1, false), load("r2", false, 0, false)))
                        .isEqualTo(first);
                preferred.add(first);
            }
            assertThat(preferred).containsExactlyInAnyOrder("r1", "r2");
        }

        @Test
        void givesWayToAReplicaWithAnIdleConnection() {
            for (String idle : List.of("r1", "r2")) {
                assertThat(select(account, Set.of(idle), load("r1", false, 1, false), load("r2", false, 1, false)))
                        .isEqualTo(idle);
            }
        }

        @Test
        void givesWayWhenItIsClearlyBusierOrUnresponsive() {
            assertThat(select(account, Set.of("r1"), load("r1", false, 2, false), load("r2", false, 0, false)))
                    .isEqualTo("r2");
            assertThat(select(account, Set.of("r1"), load("r1", false, 0, true), load("r2", false, 1, false)))
                    .isEqualTo("r2");
            assertThat(select(account, Set.of("r1"), load("r1", false, 6, false), load("r2", false, 5, false)))
                    .isEqualTo("r2");
        }

        @Test
        void comesBeforeThePrimaryAlthoughThePrimaryHasAnIdleConnection() {
            assertThat(select(account, Set.of("p"), load("p", true, 0, false), load("r", false, 3, false)))
                    .isEqualTo("r");
        }

        @Test
        void isNotUsedByABusyAccountWhichSpreadsOverAllReplicas() {
            for (int statement = 0; statement < 500; statement++) {
                selector.recordUse(account, now.minusMillis(statement));
            }
            assertThat(select(account, Set.of(), load("r1", false, 1, false), load("r2", false, 0, false)))
                    .isEqualTo("r2");
            assertThat(select(account, Set.of(), load("r1", false, 0, false), load("r2", false, 1, false)))
                    .isEqualTo("r1");
        }
    }
}
