package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.core.model.DaemonName;

/**
 * The order in which a few daemons try something that one of them has to do for all. Each waits for those before it, so
 * that usually one acts, and one that does not is replaced after a short time. All other daemons leave it to these.
 *
 * <p>Answers the moment at which a whole fleet learns of a failure: without an order every daemon would act at once.
 */
public final class ActingOrder {

    private ActingOrder() {}

    /**
     * Returns how long a daemon waits for those before it.
     *
     * @param order the daemons that may act, the first one first
     * @param step the wait for each daemon before it
     * @return empty if the daemon is not among them
     */
    public static Optional<Duration> delay(List<DaemonName> order, DaemonName daemon, Duration step) {
        int position = order.indexOf(daemon);
        return position < 0 ? Optional.empty() : Optional.of(step.multipliedBy(position));
    }
}
