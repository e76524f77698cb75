package org.lavenderwick.core.membership;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class OwnersTest {

    private static final List<FailureDomain> THREE = List.of(Tables.domain(1), Tables.domain(2), Tables.domain(3));
    private static final List<GroupName> GROUPS = IntStream.range(0, 1100)
            .mapToObj(number -> GroupName.of("group-" + number))
            .toList();

    private final SeatTable table = Tables.of(6, 20);
    private final Owners owners = Owners.of(table);

    @Nested
    class Selection {

        /** Guards against a group with no owner near one of its endpoints. */
        @Test
        void picksOneSeatInEachFailureDomainOfTheEndpoints() {
            for (GroupName group : GROUPS) {
                assertThat(owners.ownersOf(group, THREE))
                        .extracting(Seat::failureDomain)
                        .containsExactlyInAnyOrderElementsOf(THREE);
            }
        }

        /** Guards against groups without an owner when no daemon stands beside their endpoints. */
        @Test
        void fallsBackToAllFailureDomains() {
            assertThat(owners.ownersOf(GROUPS.get(0), List.of(FailureDomain.of("elsewhere"))))
                    .hasSize(6);
            assertThat(owners.ownersOf(GROUPS.get(0), List.of(FailureDomain.of("elsewhere"), Tables.domain(2))))
                    .hasSize(1);
            assertThat(Owners.of(SeatTable.empty()).ownersOf(GROUPS.get(0), THREE))
                    .isEmpty();
        }

        /** Guards against a seat that leads far more groups than the others. */
        @Test
        void spreadsTheLeads() {
            var leads = GROUPS.stream()
                    .collect(Collectors.groupingBy(
                            group -> owners.ownersOf(group, THREE).get(0).id(), Collectors.counting()));

            // 1,100 groups over 60 seats are 18 leads for each on average.
            assertThat(leads).hasSize(60);
            assertThat(leads.values()).allMatch(count -> count <= 40);
        }

        /** Guards against a table that gives one seat to two daemons. */
        @Test
        void refusesASeatThatOccursTwice() {
            assertThatThrownBy(() -> new SeatTable(1, List.of(Tables.seat(1, 1), Tables.seat(1, 1))))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Nested
    class Changes {

        /** Guards against owners that change because a seat passes to another daemon. */
        @Test
        void aSeatThatChangesHandsMovesNothing() {
            Seat taken = new Seat(4, Tables.domain(2), DaemonName.of("new"), 9, "127.0.2.99:1", false);
            Owners after = Owners.of(table.with(taken, 2));

            for (GroupName group : GROUPS) {
                assertThat(after.ownersOf(group, THREE))
                        .extracting(Seat::id)
                        .isEqualTo(owners.ownersOf(group, THREE).stream()
                                .map(Seat::id)
                                .toList());
            }
        }

        /** Guards against a new seat that moves groups between other seats. */
        @Test
        void aNewSeatOnlyTakesItsOwnGroups() {
            Seat added = Tables.seat(2, 21);
            Owners after = Owners.of(table.with(added, 2));

            List<GroupName> moved = GROUPS.stream()
                    .filter(group -> !after.ownersOf(group, THREE).equals(owners.ownersOf(group, THREE)))
                    .toList();
            assertThat(moved)
                    .isNotEmpty()
                    .hasSizeLessThan(2 * GROUPS.size() / 21)
                    .allMatch(group -> after.ownersOf(group, THREE).contains(added));
        }

        /** Guards against a daemon that leaves and still leads, or whose connections no share counts. */
        @Test
        void aLeavingOwnerComesLastBesideItsSuccessor() {
            for (GroupName group : GROUPS) {
                Seat lead = owners.ownersOf(group, THREE).get(0);
                List<Seat> leaving = Owners.of(table.with(lead.asLeaving(), 2)).ownersOf(group, THREE);
                List<Seat> gone = Owners.of(table.without(lead.id(), 3)).ownersOf(group, THREE);

                assertThat(leaving).hasSize(4).endsWith(lead.asLeaving());
                assertThat(leaving.subList(0, 3)).isEqualTo(gone);
            }
        }

        /** Guards against a place that is taken from the seat of another process. */
        @Test
        void placeBelongsToOneProcess() {
            List<Seat> three = owners.ownersOf(GROUPS.get(0), THREE);

            assertThat(Owners.positionOf(three, three.get(1).daemon(), 1)).contains(1);
            assertThat(Owners.positionOf(three, three.get(1).daemon(), 2)).isEmpty();
        }
    }
}
