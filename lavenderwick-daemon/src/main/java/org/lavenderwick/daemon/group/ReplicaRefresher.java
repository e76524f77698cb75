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
final class ReplicaRefresher {
    /** Pause between two questions to one replica; a replica that catches up is used again this much later. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final GroupContext context;
    private final Consumer<EndpointName> askEndpoint;
    private final Map<EndpointName, Duration> askedAt = new HashMap<>();

    /**
     * Creates a refresher.
     *
     * @param context the state of the group
     * @param askEndpoint asks an endpoint for its status
     */
    ReplicaRefresher(GroupContext context, Consumer<EndpointName> askEndpoint) {
        this.context = context;
        this.askEndpoint = askEndpoint;
    }

    /** Asks the replicas that were not asked a short while ago. */
    void refresh() {
        Duration now = context.loop().now();
        for (Target target : context.targets()) {
            Duration last = askedAt.get(target.name());
            boolean due = last == null || now.minus(last).compareTo(INTERVAL) >= 0;
            if (due && target.usable() && !context.primaryView().isPrimary(target.name())) {
                askedAt.put(target.name(), now);
                askEndpoint.accept(target.name());
            }
        }
    }
}
