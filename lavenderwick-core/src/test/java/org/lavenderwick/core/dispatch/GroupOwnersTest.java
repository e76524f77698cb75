package org.lavenderwick.core.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

class GroupOwnersTest {

    private static Map<DaemonName, FailureDomain> fleet(int size, int domains) {
        Map<DaemonName, FailureDomain> fleet = new TreeMap<>();
        for (int index = 0; index < size; index++) {
            fleet.put(DaemonName.of("d" + index), FailureDomain.of("z" + index % domains));
        }
        return fleet;
    }

    @Nested
    class Count {

        @Test
        void isTheWholeFleetIfTheFleetIsSmall() {
            assertThat(GroupOwners.count(6, 3, 18)).isEqualTo(6);
            assertThat(GroupOwners.count(7, 2, 27)).isEqualTo(7);
        }

        @Test
        void doesNotGrowWithALargeFleet() {
            assertThat(GroupOwners.count(67, 5, 44)).isEqualTo(14);
            assertThat(GroupOwners.count(720, 5, 44)).isEqualTo(14);
            assertThat(GroupOwners.count(84, 4, 178)).isEqualTo(16);
        }

        @Test
        void isAtLeastOne() {
            assertThat(GroupOwners.count(5, 1, 1)).isEqualTo(1);
        }
    }

    @Nested
    class Selection {

        private final GroupName group = GroupName.of("orders");

        @Test
        void distributesOwnersEvenlyOverFailureDomains() {
            List<DaemonName> owners = GroupOwners.select(group, fleet(60, 3), 15);
            Map<DaemonName, FailureDomain> fleet = fleet(60, 3);
            for (int domain = 0; domain < 3; domain++) {
                FailureDomain name = FailureDomain.of("z" + domain);
                assertThat(owners.stream().filter(owner -> fleet.get(owner).equals(name)))
                        .hasSize(5);
            }
        }

        @Test
        void replacesOnlyTheDaemonThatLeaves() {
            Map<DaemonName, FailureDomain> fleet = fleet(60, 3);
            Set<DaemonName> before = new HashSet<>(GroupOwners.select(group, fleet, 15));
            DaemonName leaving = before.iterator().next();
            fleet.remove(leaving);
            Set<DaemonName> after = new HashSet<>(GroupOwners.select(group, fleet, 15));
            before.removeAll(after);
            assertThat(before).containsExactly(leaving);
        }

        @Test
        void differsBetweenGroups() {
            assertThat(GroupOwners.select(group, fleet(60, 3), 6))
                    .isNotEqualTo(GroupOwners.select(GroupName.of("ledger"), fleet(60, 3), 6));
        }

        @Test
        void isEmptyWithoutDaemons() {
            assertThat(GroupOwners.select(group, Map.of(), 3)).isEmpty();
        }
    }
}
