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
 * Routing that prefers replicas with low latency and uses the primary as a fallback.
 *
 * <ul>
 *   <li>Among replicas with similar latency, two are picked at random and the read goes to the one with the lower
 *       expected completion time. The random choice keeps owners with the same data from all selecting the same
 *       replica.
 *   <li>A slower replica is used only if all replicas with similar latency are at their concurrency limit. A replica
 *       with much higher latency receives only occasional probe reads, one at a time, which detect its recovery.
 *   <li>A replica that is known to be fresh enough is preferred to one that is only expected to be.
 *   <li>The primary serves a read if no replica is fresh enough. If there are fresh replicas, but all of them are at
 *       their limit, the primary serves reads up to half of its own limit; the rest is reserved for writes.
 *   <li>Endpoints that are leaving or unreachable receive no reads.
 * </ul>
 */
public final class NearestReplicaRouting implements ReadRouting {

    /**
     * Latencies up to this multiple of the lowest one count as similar. At twice the lowest latency, one statement
     * takes as long as two consecutive statements at the fastest replica.
     */
    private static final int SIMILAR_LATENCY_FACTOR = 2;

    /** Added to the limit of similar latencies: the one-way delay between failure domains. */
    private static final Duration SIMILAR_LATENCY_MARGIN = Duration.ofMillis(1);

    /** A replica whose latency exceeds this multiple of the lowest one receives only probe reads. */
    private static final int PROBE_ONLY_LATENCY_FACTOR = 8;

    /** One in this many reads, on average, is sent to an idle slow replica as a probe. */
    private static final int READS_PER_PROBE = 20;

    /** While all replicas are busy, the primary serves reads up to its concurrency limit divided by this number. */
    private static final int PRIMARY_OVERFLOW_DIVISOR = 2;

    private static final RoutingDecision NO_ELIGIBLE_ENDPOINT = new RoutingDecision.Reject(Failure.of(
            ErrorKind.NO_ELIGIBLE_ENDPOINT, "No reachable endpoint is fresh enough and the primary cannot be used."));

    private NearestReplicaRouting() {}

    /** Returns a new instance. */
    public static NearestReplicaRouting create() {
        return new NearestReplicaRouting();
    }

    @Override
    public RoutingDecision choose(
            Collection<EndpointSnapshot> endpoints, ReadRequirements requirements, RandomGenerator random) {
        Optional<RoutingDecision> rejection = SessionWriteCheck.rejectIfWriteLost(requirements);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        if (requirements.requiresPrimary()) {
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
            Freshness freshness = Freshness.of(endpoint, requirements, primary);
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
            return replicasBusy ? new RoutingDecision.Wait() : NO_ELIGIBLE_ENDPOINT;
        }
        EndpointSnapshot endpoint = primary.get();
        boolean accepted = replicasBusy
                ? endpoint.inFlight() < endpoint.concurrencyLimit() / PRIMARY_OVERFLOW_DIVISOR
                : endpoint.hasCapacity();
        return accepted ? new RoutingDecision.SendTo(endpoint.name(), true) : new RoutingDecision.Wait();
    }

    private static Optional<EndpointSnapshot> selectReplica(List<EndpointSnapshot> replicas, RandomGenerator random) {
        if (replicas.isEmpty()) {
            return Optional.empty();
        }
        Duration lowest = lowestLatency(replicas);
        Duration maxSimilarLatency = lowest.multipliedBy(SIMILAR_LATENCY_FACTOR).plus(SIMILAR_LATENCY_MARGIN);
        Duration maxFallbackLatency =
                lowest.multipliedBy(PROBE_ONLY_LATENCY_FACTOR).plus(SIMILAR_LATENCY_MARGIN);
        List<EndpointSnapshot> similar = new ArrayList<>(replicas.size());
        List<EndpointSnapshot> slow = new ArrayList<>(replicas.size());
        List<EndpointSnapshot> idleSlow = new ArrayList<>(replicas.size());
        for (EndpointSnapshot replica : replicas) {
            boolean isSimilar = replica.latency().compareTo(maxSimilarLatency) <= 0;
            if (isSimilar && replica.hasCapacity()) {
                similar.add(replica);
            } else if (!isSimilar && replica.hasCapacity()) {
                if (replica.latency().compareTo(maxFallbackLatency) <= 0) {
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
        return cheaperOfTwo(similar.isEmpty() ? slow : similar, lowest, random);
    }

    /** Returns the lowest measured latency, or zero if no replica has a measurement yet. */
    private static Duration lowestLatency(List<EndpointSnapshot> replicas) {
        Duration lowest = Duration.ZERO;
        for (EndpointSnapshot replica : replicas) {
            Duration latency = replica.latency();
            if (!latency.isZero() && (lowest.isZero() || latency.compareTo(lowest) < 0)) {
                lowest = latency;
            }
        }
        return lowest;
    }

    private static Optional<EndpointSnapshot> cheaperOfTwo(
            List<EndpointSnapshot> replicas, Duration lowest, RandomGenerator random) {
        if (replicas.size() <= 1) {
            return replicas.stream().findFirst();
        }
        int first = random.nextInt(replicas.size());
        int second = random.nextInt(replicas.size() - 1);
        EndpointSnapshot candidate = replicas.get(first);
        EndpointSnapshot other = replicas.get(second < first ? second : second + 1);
        return Optional.of(cost(other, lowest) < cost(candidate, lowest) ? other : candidate);
    }

    /** Returns the expected time to complete this read and those in flight, in nanoseconds. */
    private static double cost(EndpointSnapshot endpoint, Duration lowest) {
        // An endpoint without a latency measurement is assumed to be as fast as the fastest replica.
        Duration latency = endpoint.latency().isZero() ? lowest : endpoint.latency();
        return (endpoint.inFlight() + 1.0) / endpoint.concurrencyLimit() * Math.max(1, latency.toNanos());
    }
}
