package org.lavenderwick.core.membership;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

/**
 * Owners of database groups under one seat table, by rendezvous hashing over the seats. A score depends on the group
 * and the identity of the seat only, so a seat that changes hands moves no group, and a seat that is added or removed
 * moves only the groups for which it has the best score of its failure domain: on average 1/n of the groups, with n
 * seats in the failure domain.
 *
 * <p>Safe for use by any thread; answers never change. The first call for a group takes O(s) time for s seats in the
 * failure domains of the group; the answer is kept, because each request of a caller asks for it.
 */
public final class Owners {

    private static final HashFunction SCORE = Hashing.murmur3_128(0x6c61_7665);

    private final SeatTable table;
    private final ImmutableListMultimap<FailureDomain, EncodedSeat> seatsByDomain;
    private final Map<GroupName, Known> known = new ConcurrentHashMap<>();

    private Owners(SeatTable table) {
        this.table = table;
        this.seatsByDomain = table.seats().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(Seat::failureDomain, EncodedSeat::of));
    }

    /** Returns the owners that follow from the given seat table. */
    public static Owners of(SeatTable table) {
        return new Owners(table);
    }

    /** Returns the seat table. */
    public SeatTable table() {
        return table;
    }

    /**
     * Returns the owners of a group, lead owner first; see {@link #ownersOf(GroupName, Collection)}. The answer is kept
     * until it is asked for with other settings of the group.
     */
    public List<Seat> ownersOf(GroupSettings group) {
        Known answer = known.get(group.name());
        if (answer == null || answer.group != group) {
            List<FailureDomain> domains = group.endpoints().stream()
                    .map(EndpointSettings::failureDomain)
                    .toList();
            answer = new Known(group, ownersOf(group.name(), domains));
            known.put(group.name(), answer);
        }
        return answer.owners;
    }

    /**
     * Returns the owners of a group, lead owner first: one seat for each failure domain in which the group has
     * endpoints, or for every failure domain if none of those has a seat. Empty only if the table is empty.
     *
     * <p>A leaving seat is an owner only where its failure domain has no other seat, or where it would be the owner if
     * it stayed. In the second case it is listed besides its successor, so that the connection shares count what it
     * still holds. Leaving seats come after all others.
     */
    public List<Seat> ownersOf(GroupName group, Collection<FailureDomain> endpointDomains) {
        Set<FailureDomain> domains = ImmutableSet.copyOf(endpointDomains);
        if (domains.stream().noneMatch(seatsByDomain::containsKey)) {
            domains = seatsByDomain.keySet();
        }
        byte[] groupBytes = (group.value() + "/\0").getBytes(StandardCharsets.UTF_8);
        List<ScoredSeat> owners = new ArrayList<>();
        for (FailureDomain domain : domains) {
            addOwners(groupBytes, seatsByDomain.get(domain), owners);
        }
        owners.sort(Comparator.comparing((ScoredSeat owner) -> owner.seat().leaving())
                .thenComparing(ScoredSeat.BEST_FIRST));
        return owners.stream().map(ScoredSeat::seat).collect(ImmutableList.toImmutableList());
    }

    /** Returns the place of a process among the owners of a group, 0 for the lead, if it is an owner. */
    public static Optional<Integer> positionOf(List<Seat> owners, DaemonName daemon, long incarnation) {
        for (int place = 0; place < owners.size(); place++) {
            if (owners.get(place).isHeldBy(daemon, incarnation)) {
                return Optional.of(place);
            }
        }
        return Optional.empty();
    }

    private static void addOwners(byte[] groupBytes, List<EncodedSeat> seats, List<ScoredSeat> owners) {
        ScoredSeat best = null;
        ScoredSeat bestStaying = null;
        for (EncodedSeat encoded : seats) {
            Seat seat = encoded.seat;
            ScoredSeat scored = new ScoredSeat(seat, encoded.score(groupBytes));
            if (best == null || scored.precedes(best)) {
                best = scored;
            }
            if (!seat.leaving() && (bestStaying == null || scored.precedes(bestStaying))) {
                bestStaying = scored;
            }
        }
        if (bestStaying != null) {
            owners.add(bestStaying);
        }
        if (best != null && best != bestStaying) {
            owners.add(best);
        }
    }

    /** A seat and its identity in bytes, which is the same for all groups. */
    private record EncodedSeat(Seat seat, byte[] identity) {
        private static EncodedSeat of(Seat seat) {
            byte[] domain = seat.failureDomain().value().getBytes(StandardCharsets.UTF_8);
            ByteBuffer identity =
                    ByteBuffer.allocate(domain.length + Integer.BYTES).order(ByteOrder.LITTLE_ENDIAN);
            return new EncodedSeat(
                    seat, identity.put(domain).putInt(seat.number()).array());
        }

        private long score(byte[] groupBytes) {
            return SCORE.hashBytes(Bytes.concat(groupBytes, identity)).asLong();
        }
    }

    private record Known(GroupSettings group, List<Seat> owners) {}

    private record ScoredSeat(Seat seat, long score) {

        private static final Comparator<ScoredSeat> BEST_FIRST = Comparator.comparingLong(ScoredSeat::score)
                .reversed()
                .thenComparing(scored -> scored.seat().id());

        private boolean precedes(ScoredSeat other) {
            return BEST_FIRST.compare(this, other) < 0;
        }
    }
}
