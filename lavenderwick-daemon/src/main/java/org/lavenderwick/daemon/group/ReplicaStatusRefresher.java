package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.lavenderwick.core.model.EndpointName;

/**
 * Asks replicas how far they are when reads go to the primary because no replica is known to be fresh enough. Without
 * it a replica that was once behind would get no reads, and so no answer of it would show that it has caught up.
 * Confined to the event loop of the group.
 */
final class ReplicaStatusRefresher {
    /** Pause between two questions to one replica; a replica that catches up is used again this much later. */
    private static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(100);

    private final GroupContext context;
    private final Consumer<EndpointName> statusRequest;
    private final Map<EndpointName, Duration> lastRequestTimes = new HashMap<>();

    /**
     * Creates a refresher.
     *
     * @param context the state of the group
     * @param askEndpoint asks an endpoint for its status
     */
    ReplicaStatusRefresher(GroupContext context, Consumer<EndpointName> askEndpoint) {
        this.context = context;
        this.statusRequest = askEndpoint;
    }

    /** Asks the replicas that were not asked a short while ago. */
    void refresh() {
        Duration now = context.loop().now();
        for (EndpointTarget target : context.targets()) {
            Duration last = lastRequestTimes.get(target.name());
            boolean due = last == null || now.minus(last).compareTo(MIN_REQUEST_INTERVAL) >= 0;
            if (due && target.isUsable() && !context.knownPrimary().isPrimary(target.name())) {
                lastRequestTimes.put(target.name(), now);
                statusRequest.accept(target.name());
            }
        }
    }
}
