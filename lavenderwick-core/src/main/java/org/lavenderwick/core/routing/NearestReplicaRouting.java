package org.lavenderwick.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * Sends reads to the replica that answers soonest, and to the primary last.
 *
 * <ul>
 *   <li>Among the replicas of similar latency, the less loaded of two picked at random gets the read, so that owners
 *       with the same knowledge do not all choose the same one.
 *   <li>A slower replica is used only when the similar ones are full. A far slower one only gets a probe now and then,
 *       one at a time, which shows when it has recovered.
 *   <li>A replica known to be fresh enough comes before one that is only likely to be.
 *   <li>The primary gets a read that no replica can answer. When all replicas are busy, it takes reads up to half of
 *       its limit and leaves the rest to writes.
 *   <li>An endpoint that is leaving or unreachable gets none.
 * </ul>
 */
public final class NearestReplicaRouting implements ReadRouting {

    /** Latencies up to twice the best count as similar: two statements there take as long as one at the best. */
    private static final int SIMILAR_FACTOR = 2;

    /** Latencies within the one-way delay between failure domains count as similar too. */
    private static final Duration SIMILAR_MARGIN = Duration.ofMillis(1);

    /** Above this multiple of the best latency a replica only gets probes. */
    private static final int PROBE_ONLY_FACTOR = 8;

    /** One read in this many may probe a slow replica. */
    private static final int READS_PER_PROBE = 20;

    /** The primary takes reads in place of busy replicas while it uses at most one part in this many of its limit. */
    private static final int OVERFLOW_DIVISOR = 2;

    private static final RoutingDecision NO_ENDPOINT = new RoutingDecision.Reject(Failure.of(
            ErrorKind.NO_ELIGIBLE_ENDPOINT, "No reachable endpoint is fresh enough and the primary cannot be used."));

    private NearestReplicaRouting() {}

    /** Returns the routing. */
    public static NearestReplicaRouting create() {
        return new NearestReplicaRouting();
    }

    @Override
    public RoutingDecision choose(
            Collection<EndpointSnapshot> endpoints, ReadRequirements needs, RandomGenerator random) {
        Optional<RoutingDecision> lost = SessionWriteCheck.rejectIfWriteLost(needs);
        if (lost.isPresent()) {
            return lost.get();
        }
        if (needs.requiresPrimary()) {
            return PrimaryOnlyRouting.toPrimary(endpoints);
        }
        Optional<EndpointSnapshot> primary =
                endpoints.stream().filter(EndpointSnapshot::primary).findFirst();
        List<EndpointSnapshot> confirmed = new ArrayList<>();
        List<EndpointSnapshot> likely = new ArrayList<>();
        for (EndpointSnapshot endpoint : endpoints) {
            if (endpoint.primary() || !endpoint.isUsable()) {
                continue;
            }
            Freshness freshness = Freshness.of(endpoint, needs, primary);
            if (freshness == Freshness.CONFIRMED) {
                confirmed.add(endpoint);
            } else if (freshness == Freshness.LIKELY) {
                likely.add(endpoint);
            }
        }
        Optional<EndpointSnapshot> replica = selectReplica(confirmed, random);
        if (replica.isPresent()) {
            return new RoutingDecision.SendTo(replica.get().name(), true);
        }
        replica = selectReplica(likely, random);
        if (replica.isPresent()) {
            return new RoutingDecision.SendTo(replica.get().name(), false);
        }
        return fallBackToPrimary(primary.filter(EndpointSnapshot::isUsable), !confirmed.isEmpty() || !likely.isEmpty());
    }

    private static RoutingDecision fallBackToPrimary(Optional<EndpointSnapshot> primary, boolean replicasBusy) {
        if (primary.isEmpty()) {
            return replicasBusy ? new RoutingDecision.Wait() : NO_ENDPOINT;
        }
        EndpointSnapshot view = primary.get();
        boolean room = replicasBusy ? view.inFlight() < view.concurrencyLimit() / OVERFLOW_DIVISOR : view.hasCapacity();
        return room ? new RoutingDecision.SendTo(view.name(), true) : new RoutingDecision.Wait();
    }

    private static Optional<EndpointSnapshot> selectReplica(List<EndpointSnapshot> replicas, RandomGenerator random) {
        if (replicas.isEmpty()) {
            return Optional.empty();
        }
        Duration best = bestLatency(replicas);
        Duration similarUpTo = best.multipliedBy(SIMILAR_FACTOR).plus(SIMILAR_MARGIN);
        Duration slowUpTo = best.multipliedBy(PROBE_ONLY_FACTOR).plus(SIMILAR_MARGIN);
        List<EndpointSnapshot> similar = new ArrayList<>(replicas.size());
        List<EndpointSnapshot> slow = new ArrayList<>(replicas.size());
        List<EndpointSnapshot> idleSlow = new ArrayList<>(replicas.size());
        for (EndpointSnapshot replica : replicas) {
            boolean near = replica.latency().compareTo(similarUpTo) <= 0;
            if (near && replica.hasCapacity()) {
                similar.add(replica);
            } else if (!near && replica.hasCapacity()) {
                if (replica.latency().compareTo(slowUpTo) <= 0) {
                    slow.add(replica);
                }
                if (replica.inFlight() == 0) {
                    idleSlow.add(replica);
                }
            }
        }
        if (!idleSlow.isEmpty() && random.nextInt(READS_PER_PROBE) == 0) {
            return Optional.of(idleSlow.get(random.nextInt(idleSlow.size())));
        }
        return cheaperOfTwo(similar.isEmpty() ? slow : similar, best, random);
    }

    /** Returns the lowest measured latency; zero stands for an endpoint without an answer yet. */
    private static Duration bestLatency(List<EndpointSnapshot> replicas) {
        Duration best = Duration.ZERO;
        for (EndpointSnapshot replica : replicas) {
            Duration latency = replica.latency();
            if (!latency.isZero() && (best.isZero() || latency.compareTo(best) < 0)) {
                best = latency;
            }
        }
        return best;
    }

    private static Optional<EndpointSnapshot> cheaperOfTwo(
            List<EndpointSnapshot> replicas, Duration best, RandomGenerator random) {
        if (replicas.size() <= 1) {
            return replicas.stream().findFirst();
        }
        int first = random.nextInt(replicas.size());
        int second = random.nextInt(replicas.size() - 1);
        EndpointSnapshot one = replicas.get(first);
        EndpointSnapshot other = replicas.get(second < first ? second : second + 1);
        return Optional.of(cost(other, best) < cost(one, best) ? other : one);
    }

    /** The expected time until the endpoint has answered this read and the ones in flight. */
    private static double cost(EndpointSnapshot view, Duration best) {
        // An endpoint without an answer yet is taken to be as fast as the best one.
        Duration latency = view.latency().isZero() ? best : view.latency();
        return (view.inFlight() + 1.0) / view.concurrencyLimit() * Math.max(1, latency.toNanos());
    }
}
