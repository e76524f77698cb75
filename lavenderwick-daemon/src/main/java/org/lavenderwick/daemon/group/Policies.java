package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.lavenderwick.core.admission.AdaptiveLimit;
import org.lavenderwick.core.admission.AdmissionQueue;
import org.lavenderwick.core.admission.ConcurrencyLimit;
import org.lavenderwick.core.admission.FifoAdmissionQueue;
import org.lavenderwick.core.admission.FixedLimit;
import org.lavenderwick.core.admission.RankedAdmissionQueue;
import org.lavenderwick.core.billing.PaidLevelPolicy;
import org.lavenderwick.core.billing.SpendingPolicy;
import org.lavenderwick.core.billing.UnlimitedSpending;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.connections.FixedSizing;
import org.lavenderwick.core.connections.OnDemandSizing;
import org.lavenderwick.core.connections.PoolSizing;
import org.lavenderwick.core.routing.NearestReplicaRouting;
import org.lavenderwick.core.routing.PrimaryOnlyRouting;
import org.lavenderwick.core.routing.ReadRouting;

/**
 * The policies by which an owner queues, limits and routes requests, sizes its pools and limits spending.
 *
 * @param queueFactory creates the admission queue of a service
 * @param limitFactory creates the concurrency limit of an endpoint from its slots and the number of traffic connections
 * @param routing selects the endpoint of a read
 * @param spendingFactory creates the spending policy of a service
 * @param sizing decides how many connections a pool keeps open
 */
public record Policies(
        Function<ServiceSettings, AdmissionQueue> queueFactory,
        BiFunction<Integer, Integer, ConcurrencyLimit> limitFactory,
        ReadRouting routing,
        Function<ServiceSettings, SpendingPolicy> spendingFactory,
        PoolSizing sizing) {
    /** Queue capacity of a rank; at a few milliseconds per item a full queue is served within the usual deadlines. */
    private static final int QUEUE_CAPACITY_PER_RANK = 1_000;

    /** Idle time after which a connection is closed; closing it within a minute of its use would save no cost. */
    private static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofMinutes(2);

    /** Returns the policies that a fleet runs with by default. */
    public static Policies standard() {
        return new Policies(
                service -> RankedAdmissionQueue.create(service.ranks(), QUEUE_CAPACITY_PER_RANK),
                AdaptiveLimit::create,
                NearestReplicaRouting.create(),
                service -> PaidLevelPolicy.create(
                        service.ranks().stream().map(RankSettings::name).toList()),
                OnDemandSizing.of(CONNECTION_IDLE_TIMEOUT));
    }

    /**
     * Returns the baseline policies for comparisons: a FIFO queue, fixed concurrency limits and pools, all reads at the
     * primary, and no spending limit.
     */
    public static Policies baseline() {
        return new Policies(
                service -> FifoAdmissionQueue.create(
                        QUEUE_CAPACITY_PER_RANK * service.ranks().size()),
                (slots, connections) -> FixedLimit.of(Math.max(1, connections), connections),
                PrimaryOnlyRouting.create(),
                service -> UnlimitedSpending.create(),
                FixedSizing.create());
    }

    /** Returns a copy of these policies with the given routing of reads. */
    public Policies withRouting(ReadRouting changed) {
        return new Policies(queueFactory, limitFactory, changed, spendingFactory, sizing);
    }

    /** Returns a copy of these policies with the given admission queues. */
    public Policies withQueue(Function<ServiceSettings, AdmissionQueue> changed) {
        return new Policies(changed, limitFactory, routing, spendingFactory, sizing);
    }

    /** Returns a copy of these policies with the given pool sizing and spending policies. */
    public Policies withSizingAndSpending(
            PoolSizing changedSizing, Function<ServiceSettings, SpendingPolicy> changedSpending) {
        return new Policies(queueFactory, limitFactory, routing, changedSpending, changedSizing);
    }
}
