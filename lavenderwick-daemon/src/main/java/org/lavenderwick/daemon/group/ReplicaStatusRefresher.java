package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.lavenderwick.core.model.EndpointName;

/**
 * Requester of the status of replicas when reads go to the primary because no replica is known to be fresh enough. A
 * replica that fell behind gets no reads, so without these requests no response would show that it has caught up.
 * Confined to the event loop of the group.
 */
final class ReplicaStatusRefresher {
    /** Minimum interval between requests to a replica; reads return to a replica that caught up with this delay. */
    private static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(100);

    private final GroupContext context;
    private final Consumer<EndpointName> statusRequest;
    private final Map<EndpointName, Duration> lastRequestTimes = new HashMap<>();

    /**
     * Creates a refresher.
     *
     * @param context state of the group
     * @param statusRequest requests the status of an endpoint
     */
    ReplicaStatusRefresher(GroupContext context, Consumer<EndpointName> statusRequest) {
        this.context = context;
        this.statusRequest = statusRequest;
    }

    /** Requests the status of all usable replicas except those whose last request was too short a time ago. */
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
