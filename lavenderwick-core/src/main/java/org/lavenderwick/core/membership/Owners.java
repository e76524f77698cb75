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
 * The assignment of database groups to the seats of one seat table. The daemons that hold the assigned seats are the
 * owners of the group.
 *
 * <p>Seats are assigned by rendezvous hashing: in each failure domain, the seat with the highest score for a group owns
 * the group. The score depends only on the name of the group and the identity of the seat. A new holder of a seat
 * therefore changes no assignment, and adding or removing a seat moves only the groups for which that seat has the
 * highest score in its failure domain: on average 1/n of the groups in a failure domain with n seats.
 *
 * <p>Thread-safe; the assignment never changes. The first lookup of a group takes O(s) time for s seats in the failure
 * domains of the group. Its result is cached, because every request needs it.
 */
public final class Owners {

    private static final HashFunction SCORE_HASH = Hashing.murmur3_128(0x6c61_7665);

    private final SeatTable table;
    private final ImmutableListMultimap<FailureDomain, EncodedSeat> seatsByDomain;
    private final Map<GroupName, CachedOwners> cache = new ConcurrentHashMap<>();

    private Owners(SeatTable table) {
        this.table = table;
        this.seatsByDomain = table.seats().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(Seat::failureDomain, EncodedSeat::of));
    }

    /** Returns the owners under the given seat table. */
    public static Owners of(SeatTable table) {
        return new Owners(table);
    }

    /** Returns the seat table on which the assignment is based. */
    public SeatTable table() {
        return table;
    }

    /**
     * Returns the owners of a group, lead owner first; see {@link #ownersOf(GroupName, Collection)}. The result is
     * cached until this method is called with a different settings object for the group.
     */
    public List<Seat> ownersOf(GroupSettings group) {
        CachedOwners cached = cache.get(group.name());
        if (cached == null || cached.group != group) {
            List<FailureDomain> domains = group.endpoints().stream()
                    .map(EndpointSettings::failureDomain)
                    .toList();
            cached = new CachedOwners(group, ownersOf(group.name(), domains));
            cache.put(group.name(), cached);
        }
        return cached.owners;
    }

    /**
     * Returns the owners of a group, lead owner first: one seat in each failure domain in which the group has
     * endpoints. If none of these failure domains has a seat, returns one seat in every failure domain of the table.
     * The result is empty only if the table is empty.
     *
     * <p>A leaving seat with the highest score in its failure domain remains an owner. If the failure domain also has
     * seats that are not leaving, the best of them is added as its successor. Both are listed, so that the connection
     * shares account for the connections that the leaving daemon still has. Leaving seats come last.
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

    /**
     * Returns the index in {@code owners} of the seat that the given process holds, where 0 is the lead owner. Returns
     * empty if the process holds none of these seats.
     */
    public static Optional<Integer> positionOf(List<Seat> owners, DaemonName daemon, long incarnation) {
        for (int position = 0; position < owners.size(); position++) {
            if (owners.get(position).isHeldBy(daemon, incarnation)) {
                return Optional.of(position);
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
            if (best == null || scored.ranksAbove(best)) {
                best = scored;
            }
            if (!seat.leaving() && (bestStaying == null || scored.ranksAbove(bestStaying))) {
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

    /** A seat and the encoding of its identity that is hashed. Encoded once, because it is the same for all groups. */
    private record EncodedSeat(Seat seat, byte[] identity) {
        private static EncodedSeat of(Seat seat) {
            byte[] domain = seat.failureDomain().value().getBytes(StandardCharsets.UTF_8);
            ByteBuffer identity =
                    ByteBuffer.allocate(domain.length + Integer.BYTES).order(ByteOrder.LITTLE_ENDIAN);
            return new EncodedSeat(
                    seat, identity.put(domain).putInt(seat.number()).array());
        }

        private long score(byte[] groupBytes) {
            return SCORE_HASH.hashBytes(Bytes.concat(groupBytes, identity)).asLong();
        }
    }

    private record CachedOwners(GroupSettings group, List<Seat> owners) {}

    private record ScoredSeat(Seat seat, long score) {

        private static final Comparator<ScoredSeat> BEST_FIRST = Comparator.comparingLong(ScoredSeat::score)
                .reversed()
                .thenComparing(scored -> scored.seat().id());

        private boolean ranksAbove(ScoredSeat other) {
            return BEST_FIRST.compare(this, other) < 0;
        }
    }
}
