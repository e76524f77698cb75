package org.lavenderwick.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the endpoint for one statement.
 *
 * <p>Slots of the primary are the scarcest, as some work can run nowhere else, so a replica goes first wherever it may.
 * Urgent work may exceed the limit of an endpoint by one and the least urgent work stays one below it: during a flood
 * of low ranks the endpoint's own queue then always has room for work that cannot wait.
 */
public final class EndpointSelector {

    /** Rank at and beyond which work counts as least urgent. */
    private static final int LOWEST_RANK = 2;

    private static final Comparator<EndpointLoad> ORDER = Comparator.comparing(EndpointLoad::unresponsive)
            .thenComparing(EndpointLoad::primary)
            .thenComparingInt(EndpointLoad::inFlight)
            .thenComparing(load -> !load.sameDomain())
            .thenComparing(EndpointLoad::name);

    private EndpointSelector() {}

    /** Returns how many statements may run on an endpoint for work of a rank to be added. */
    public static int limitForRank(EndpointLoad load, int rank) {
        return Math.max(1, load.limit() + 1 - Math.min(rank, LOWEST_RANK));
    }

    /**
     * Returns the statements that each daemon may run on an endpoint: together twice the slots, so that a slot that
     * becomes free finds the next statement waiting there.
     *
     * @param slots statements that the endpoint runs at the same time
     * @param daemons daemons that send work to it
     */
    public static int limitPerDaemon(int slots, int daemons) {
        return Math.max(2, (2 * slots + daemons - 1) / Math.max(1, daemons));
    }

    /** Returns the endpoint that takes a statement of the given rank; empty if all are busy. */
    public static Optional<EndpointLoad> select(Collection<EndpointLoad> eligible, int rank) {
        return eligible.stream()
                .filter(load -> load.inFlight() < limitForRank(load, rank))
                .min(ORDER);
    }
}
