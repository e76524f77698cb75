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
 * The policies of an owner.
 *
 * @param queue makes the admission queue of a service
 * @param limit makes the concurrency limit of an endpoint from its slots and the traffic connections
 * @param routing chooses the endpoint of a read
 * @param spending makes the spending policy of a service
 * @param sizing decides how many connections are kept
 */
public record Policies(
        Function<ServiceSettings, AdmissionQueue> queueFactory,
        BiFunction<Integer, Integer, ConcurrencyLimit> limitFactory,
        ReadRouting routing,
        Function<ServiceSettings, SpendingPolicy> spendingFactory,
        PoolSizing sizing) {
    /** Waiting items of a rank; at a few milliseconds each they are served within the usual deadlines. */
    private static final int QUEUE_CAPACITY = 1_000;

    /** Idle time after which a connection closes; within a minute closing saves nothing. */
    private static final Duration IDLE_TIME = Duration.ofMinutes(2);

    /** Returns the policies of the fleet. */
    public static Policies standard() {
        return new Policies(
                service -> RankedAdmissionQueue.create(service.ranks(), QUEUE_CAPACITY),
                AdaptiveLimit::create,
                NearestReplicaRouting.create(),
                service -> PaidLevelPolicy.create(
                        service.ranks().stream().map(RankSettings::name).toList()),
                OnDemandSizing.of(IDLE_TIME));
    }

    /** Returns the baselines: first in first out, fixed limits and pools, reads at the primary, no spending limit. */
    public static Policies baseline() {
        return new Policies(
                service -> FifoAdmissionQueue.create(
                        QUEUE_CAPACITY * service.ranks().size()),
                (slots, connections) -> FixedLimit.of(Math.max(1, connections), connections),
                PrimaryOnlyRouting.create(),
                service -> UnlimitedSpending.create(),
                FixedSizing.create());
    }

    /** Returns these policies with another routing of reads. */
    public Policies withRouting(ReadRouting changed) {
        return new Policies(queueFactory, limitFactory, changed, spendingFactory, sizing);
    }

    /** Returns these policies with another admission queue. */
    public Policies withQueue(Function<ServiceSettings, AdmissionQueue> changed) {
        return new Policies(changed, limitFactory, routing, spendingFactory, sizing);
    }

    /** Returns these policies with another pool and its spending policy. */
    public Policies withSizingAndSpending(
            PoolSizing changedSizing, Function<ServiceSettings, SpendingPolicy> changedSpending) {
        return new Policies(queueFactory, limitFactory, routing, changedSpending, changedSizing);
    }
}
