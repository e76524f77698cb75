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

    private static final List<FailureDomain> THREE_DOMAINS =
            List.of(SeatTableFixtures.domain(1), SeatTableFixtures.domain(2), SeatTableFixtures.domain(3));
    private static final List<GroupName> GROUPS = IntStream.range(0, 1100)
            .mapToObj(number -> GroupName.of("group-" + number))
            .toList();

    private final SeatTable table = SeatTableFixtures.of(6, 20);
    private final Owners owners = Owners.of(table);

    @Nested
    class Selection {

        /** Guards against a group without an owner in the failure domain of one of its endpoints. */
        @Test
        void picksOneSeatInEachFailureDomainOfTheEndpoints() {
            for (GroupName group : GROUPS) {
                assertThat(owners.ownersOf(group, THREE_DOMAINS))
                        .extracting(Seat::failureDomain)
                        .containsExactlyInAnyOrderElementsOf(THREE_DOMAINS);
            }
        }

        /** Guards against a group without an owner when no daemon is in the failure domains of its endpoints. */
        @Test
        void fallsBackToAllFailureDomains() {
            assertThat(owners.ownersOf(GROUPS.get(0), List.of(FailureDomain.of("elsewhere"))))
                    .hasSize(6);
            assertThat(owners.ownersOf(
                            GROUPS.get(0), List.of(FailureDomain.of("elsewhere"), SeatTableFixtures.domain(2))))
                    .hasSize(1);
            assertThat(Owners.of(SeatTable.empty()).ownersOf(GROUPS.get(0), THREE_DOMAINS))
                    .isEmpty();
        }

        /** Guards against a seat that is the lead owner of far more groups than other seats. */
        @Test
        void balancesLeadOwnersAcrossSeats() {
            var groupsByLead = GROUPS.stream()
                    .collect(Collectors.groupingBy(
                            group ->
                                    owners.ownersOf(group, THREE_DOMAINS).get(0).id(),
                            Collectors.counting()));

            // With 1,100 groups and 60 seats, a seat is the lead owner of 18 groups on average.
            assertThat(groupsByLead).hasSize(60);
            assertThat(groupsByLead.values()).allMatch(count -> count <= 40);
        }

        /** Guards against a table in which two daemons hold the same seat. */
        @Test
        void rejectsASeatThatOccursTwice() {
            assertThatThrownBy(
                            () -> new SeatTable(1, List.of(SeatTableFixtures.seat(1, 1), SeatTableFixtures.seat(1, 1))))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Nested
    class Changes {

        /** Guards against groups that move when another daemon takes over a seat. */
        @Test
        void aNewHolderOfASeatMovesNoGroup() {
            Seat taken = new Seat(4, SeatTableFixtures.domain(2), DaemonName.of("new"), 9, "127.0.2.99:1", false);
            Owners after = Owners.of(table.with(taken, 2));

            for (GroupName group : GROUPS) {
                assertThat(after.ownersOf(group, THREE_DOMAINS))
                        .extracting(Seat::id)
                        .isEqualTo(owners.ownersOf(group, THREE_DOMAINS).stream()
                                .map(Seat::id)
                                .toList());
            }
        }

        /** Guards against a new seat that causes groups to move between other seats. */
        @Test
        void groupsMoveOnlyToTheNewSeat() {
            Seat added = SeatTableFixtures.seat(2, 21);
            Owners after = Owners.of(table.with(added, 2));

            List<GroupName> moved = GROUPS.stream()
                    .filter(group ->
                            !after.ownersOf(group, THREE_DOMAINS).equals(owners.ownersOf(group, THREE_DOMAINS)))
                    .toList();
            assertThat(moved)
                    .isNotEmpty()
                    .hasSizeLessThan(2 * GROUPS.size() / 21)
                    .allMatch(group -> after.ownersOf(group, THREE_DOMAINS).contains(added));
        }

        /** Guards against a leaving daemon that remains the lead owner or is missing from the connection shares. */
        @Test
        void aLeavingOwnerIsListedLastInAdditionToItsSuccessor() {
            for (GroupName group : GROUPS) {
                Seat lead = owners.ownersOf(group, THREE_DOMAINS).get(0);
                List<Seat> leaving = Owners.of(table.with(lead.asLeaving(), 2)).ownersOf(group, THREE_DOMAINS);
                List<Seat> gone = Owners.of(table.without(lead.id(), 3)).ownersOf(group, THREE_DOMAINS);

                assertThat(leaving).hasSize(4).endsWith(lead.asLeaving());
                assertThat(leaving.subList(0, 3)).isEqualTo(gone);
            }
        }

        /** Guards against a process that is assigned the position of another incarnation of the same daemon. */
        @Test
        void positionDependsOnTheIncarnation() {
            List<Seat> groupOwners = owners.ownersOf(GROUPS.get(0), THREE_DOMAINS);

            assertThat(Owners.positionOf(groupOwners, groupOwners.get(1).daemon(), 1))
                    .contains(1);
            assertThat(Owners.positionOf(groupOwners, groupOwners.get(1).daemon(), 2))
                    .isEmpty();
        }
    }
}
