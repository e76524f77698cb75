package org.lavenderwick.core.failover;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

class GroupMembershipTrackerTest {

    private static final GroupName GROUP = GroupName.of("db");
    private static final EndpointName PRIMARY = EndpointName.of("e1");
    private static final EndpointName REPLICA = EndpointName.of("e2");
    private static final FailoverTimings TIMINGS = FailoverTimings.DEFAULTS;
    private static final Duration START = Duration.ofSeconds(100);

    private final GroupMembershipTracker tracker = GroupMembershipTracker.create(GROUP, TIMINGS);
    private TermRecord record = new TermRecord(1, 7, Set.of(), Map.of(GROUP, GroupTerm.open(PRIMARY, 1, 0)))
            .withMembership(GROUP, GroupMembership.established(Set.of(PRIMARY)));

    private static GroupDirectory directory(boolean draining, EndpointName... names) {
        Map<EndpointName, EndpointEntry> members = new HashMap<>();
        for (EndpointName name : names) {
            InetSocketAddress address = InetSocketAddress.createUnresolved("localhost", 1);
            members.put(
                    name,
                    new EndpointEntry(
                            name,
                            GROUP,
                            address,
                            FailureDomain.of("z"),
                            3,
                            draining && name.equals(REPLICA),
                            EndpointRole.REPLICA));
        }
        return new GroupDirectory(members, Set.of(), Map.of(), 0, 1);
    }

    private Optional<GroupMembershipTracker.Change> next(GroupDirectory directory, Duration now) {
        return tracker.next(record, 5, directory, Duration.ZERO, now);
    }

    private void setMembership(Set<EndpointName> established, Map<EndpointName, Long> joining) {
        record = record.withMembership(GROUP, new GroupMembership(established, joining));
    }

    @Nested
    class Joining {

        /** Guards against members that a daemon with an old record can go on confirming. */
        @Test
        void needsANewLease() {
            GroupMembershipTracker.Change change =
                    next(directory(false, PRIMARY, REPLICA), START).orElseThrow();
            assertThat(change.needsNewLease()).isTrue();
            assertThat(change.membership()).isEqualTo(new GroupMembership(Set.of(PRIMARY), Map.of(REPLICA, 5L)));
        }

        /** Guards against an endpoint that is established while a daemon that does not know it has valid members. */
        @Test
        void endsOnceTheEarlierLeasesAreRevokedForLongEnough() {
            setMembership(Set.of(PRIMARY), Map.of(REPLICA, 5L));
            record = record.withLease(8);
            GroupDirectory directory = directory(false, PRIMARY, REPLICA);
            assertThat(next(directory, START)).isEmpty();
            Duration later = START.plus(GroupMembershipTracker.LEASE_OVERLAP);
            assertThat(next(directory, later).orElseThrow().revokesLeases()).isTrue();
            record = record.withoutRevokedLeases(Set.of(7L));
            assertThat(next(directory, later)).isEmpty();
            assertThat(next(directory, later.plus(TIMINGS.membershipExpiry()).minusMillis(1)))
                    .isEmpty();
            assertThat(next(directory, later.plus(TIMINGS.membershipExpiry()))
                            .orElseThrow()
                            .membership())
                    .isEqualTo(GroupMembership.established(Set.of(PRIMARY, REPLICA)));
        }

        /** Guards against a daemon that missed that an endpoint had left and counts its first joining. */
        @Test
        void beginsAnewWithEachJoining() {
            GroupDirectory directory = directory(false, PRIMARY, REPLICA);
            setMembership(Set.of(PRIMARY), Map.of(REPLICA, 5L));
            next(directory, START);
            Duration later = START.plus(TIMINGS.membershipExpiry());
            setMembership(Set.of(PRIMARY), Map.of(REPLICA, 9L));
            assertThat(next(directory, later)).isEmpty();
            assertThat(next(directory, later.plus(TIMINGS.membershipExpiry()))).isPresent();
        }

        @Test
        void isNotForEndpointsThatLeave() {
            assertThat(next(directory(true, PRIMARY, REPLICA), START)).isEmpty();
        }
    }

    @Nested
    class Removal {

        /** Guards against a replica that cannot be promoted although it was away for a short time only. */
        @Test
        void happensLongAfterAMemberWasLost() {
            setMembership(Set.of(PRIMARY, REPLICA), Map.of());
            assertThat(next(directory(false, PRIMARY), START)).isEmpty();
            assertThat(next(
                            directory(false, PRIMARY),
                            START.plus(GroupMembershipTracker.RETENTION).minusMillis(1)))
                    .isEmpty();
            assertThat(next(directory(false, PRIMARY), START.plus(GroupMembershipTracker.RETENTION))
                            .orElseThrow()
                            .membership())
                    .isEqualTo(GroupMembership.established(Set.of(PRIMARY)));
        }

        /** Guards against evidence that is missing because of an endpoint that left as planned. */
        @Test
        void happensAtOnceAfterAnAnnouncement() {
            setMembership(Set.of(PRIMARY, REPLICA), Map.of());
            assertThat(next(directory(true, PRIMARY, REPLICA), START)).isEmpty();
            assertThat(next(directory(false, PRIMARY), START.plusMillis(400))).isPresent();
        }

        /** Guards against a recorded primary whose reports do not count. */
        @Test
        void neverAffectsThePrimary() {
            assertThat(next(directory(false), START)).isEmpty();
            assertThat(next(directory(false), START.plusSeconds(3600))).isEmpty();
        }
    }

    /** Guards against a group of a record of an earlier version, which would never have evidence. */
    @Test
    void groupWithoutMembersGetsTheRegisteredEndpoints() {
        record = new TermRecord(1, 7, Set.of(), record.groups());
        assertThat(next(directory(false, PRIMARY, REPLICA), START).orElseThrow().membership())
                .isEqualTo(GroupMembership.established(Set.of(PRIMARY, REPLICA)));
    }
}
