package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lavenderwick.core.model.EndpointName;

/** The slots of the endpoints and the operations that run in them. Not thread-safe. */
final class RunningOperations {

    /** Part of the mean slot time that an operation is expected to run on once it has exceeded the mean. */
    private static final double OVERDUE_PART = 0.5;

    private record Run(Operation operation, EndpointName endpoint, Duration startedAt, double cost) {}

    /**
     * The use of some of the slots.
     *
     * @param slots number of slots
     * @param running number of operations that run in them
     * @param remaining expected slot time in seconds until these have finished
     */
    record Usage(int slots, int running, double remaining) {}

    private final Map<Long, Run> runs = new HashMap<>();
    private Map<EndpointName, EndpointSlots> endpoints = Map.of();

    void update(List<EndpointSlots> current) {
        Map<EndpointName, EndpointSlots> byName = new HashMap<>();
        current.forEach(endpoint -> byName.put(endpoint.name(), endpoint));
        endpoints = byName;
    }

    void start(Operation operation, EndpointName endpoint, double cost, Duration now) {
        runs.put(operation.id(), new Run(operation, endpoint, now, cost));
    }

    /** Returns the slot time that was charged for an operation at its start; zero if it does not run. */
    double finish(long id) {
        Run run = runs.remove(id);
        return run == null ? 0 : run.cost();
    }

    int size() {
        return runs.size();
    }

    /** Returns the number of operations that run on an endpoint. */
    int onEndpoint(EndpointName endpoint) {
        return (int) runs.values().stream()
                .filter(run -> run.endpoint().equals(endpoint))
                .count();
    }

    /** Returns the use of the slots of the primary, the replicas or both; takes time in the number of slots. */
    Usage usage(boolean primary, boolean replicas, Duration now) {
        int slots = 0;
        for (EndpointSlots endpoint : endpoints.values()) {
            slots += (endpoint.primary() ? primary : replicas) ? endpoint.slots() : 0;
        }
        int running = 0;
        double remaining = 0;
        for (Run run : runs.values()) {
            EndpointSlots endpoint = endpoints.get(run.endpoint());
            if (endpoint != null && (endpoint.primary() ? primary : replicas)) {
                running++;
                double age = Seconds.of(now.minus(run.startedAt()));
                remaining += Math.max(run.cost() - age, run.cost() * OVERDUE_PART);
            }
        }
        return new Usage(slots, running, remaining);
    }

    /** Returns the number of slots of the primary, or else of the replicas. */
    int slotsOf(boolean primary) {
        int slots = 0;
        for (EndpointSlots endpoint : endpoints.values()) {
            slots += endpoint.primary() == primary ? endpoint.slots() : 0;
        }
        return slots;
    }

    /** Returns the part of all slots that belongs to the primary, or else to the replicas. */
    double part(boolean primary) {
        int all = 0;
        int some = 0;
        for (EndpointSlots endpoint : endpoints.values()) {
            all += endpoint.slots();
            some += endpoint.primary() == primary ? endpoint.slots() : 0;
        }
        return all == 0 ? 0 : (double) some / all;
    }
}
