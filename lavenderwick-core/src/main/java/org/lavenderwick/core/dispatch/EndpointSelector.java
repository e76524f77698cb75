package org.lavenderwick.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects the endpoint that runs a statement, and calculates how many statements may run on an endpoint.
 *
 * <p>Replicas are preferred over the primary, because writes can only run on the primary and need its slots.
 *
 * <p>The limit of an endpoint depends on the rank of the statement: the most urgent rank may exceed the limit by one,
 * and the least urgent ranks must stay one below it. Many statements of low rank therefore never fill the internal
 * queue of an endpoint, and urgent statements still find room there.
 */
public final class EndpointSelector {

    /** Index of the rank from which on all ranks count as least urgent. */
    private static final int LEAST_URGENT_RANK = 2;

    private static final Comparator<EndpointLoad> BY_PREFERENCE = Comparator.comparing(EndpointLoad::unresponsive)
            .thenComparing(EndpointLoad::primary)
            .thenComparingInt(EndpointLoad::inFlight)
            .thenComparing(load -> !load.sameDomain())
            .thenComparing(EndpointLoad::name);

    private EndpointSelector() {}

    /**
     * Returns the number of statements in flight below which a further statement of the given rank may be sent to an
     * endpoint.
     *
     * @param rank index of the rank; 0 is the most urgent
     */
    public static int limitForRank(EndpointLoad load, int rank) {
        return Math.max(1, load.limit() + 1 - Math.min(rank, LEAST_URGENT_RANK));
    }

    /**
     * Returns the number of statements that each daemon may run on an endpoint. The limits of all daemons sum to about
     * twice the number of slots, so that a statement is already queued at the endpoint when a slot becomes free.
     *
     * @param slots number of statements that the endpoint runs at the same time
     * @param daemons number of daemons that send statements to the endpoint
     */
    public static int limitPerDaemon(int slots, int daemons) {
        return Math.max(2, (2 * slots + daemons - 1) / Math.max(1, daemons));
    }

    /** Returns the preferred endpoint below its limit for a statement of the given rank; empty if there is none. */
    public static Optional<EndpointLoad> select(Collection<EndpointLoad> eligible, int rank) {
        return eligible.stream()
                .filter(load -> load.inFlight() < limitForRank(load, rank))
                .min(BY_PREFERENCE);
    }
}
