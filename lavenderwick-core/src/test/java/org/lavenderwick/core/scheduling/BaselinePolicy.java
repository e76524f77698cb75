package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.dispatch.EndpointSelector;

/**
 * The rules before this package: strictly by rank, then what can be in time, then arrival; rejection on arrival if the
 * expected wait (mean slot time times what is ahead over the limits) exceeds the target.
 */
final class BaselinePolicy implements Replay.Policy {

    private final List<Operation> queue = new ArrayList<>();
    private final Map<String, Double> means = new HashMap<>();
    private Replay endpoints;

    @Override
    public Optional<Duration> arrive(Operation operation, Duration now) {
        long ahead = queue.stream()
                .filter(other -> other.rank() <= operation.rank() && other.primaryOnly() == operation.primaryOnly())
                .count();
        int limit = loads(operation).stream()
                .mapToInt(load -> EndpointSelector.limitForRank(load, operation.rank()))
                .sum();
        double wait = means.getOrDefault(operation.database(), 0.0) * ahead / Math.max(1, limit);
        if (!operation.inTransaction() && wait > Seconds.of(operation.target())) {
            return Optional.of(Seconds.toDuration(wait));
        }
        queue.add(operation);
        return Optional.empty();
    }

    private List<EndpointLoad> loads(Operation operation) {
        return endpoints == null
                ? List.of()
                : endpoints.endpoints.stream()
                        .filter(endpoint -> endpoint.primary
                                || (!operation.primaryOnly() && endpoints.mayServe(endpoint, operation)))
                        .map(Replay.Endpoint::load)
                        .toList();
    }

    @Override
    public void dispatch(Replay current, Duration now) {
        endpoints = current;
        List<Operation> ordered = new ArrayList<>(queue);
        ordered.sort(Comparator.comparingInt(Operation::rank)
                .thenComparing(operation -> now.compareTo(operation.dueAt()) > 0)
                .thenComparing(Operation::arrivedAt));
        for (Operation operation : ordered) {
            EndpointSelector.select(loads(operation), operation.rank()).ifPresent(load -> {
                queue.remove(operation);
                current.start(operation, load.name());
            });
        }
    }

    @Override
    public void onFinished(Operation operation, Duration slotTime) {
        means.merge(operation.database(), Seconds.of(slotTime), (mean, newest) -> mean + 0.1 * (newest - mean));
    }

    @Override
    public void cancel(Operation operation) {
        queue.remove(operation);
    }

    @Override
    public List<Operation> removeExpired(Duration now) {
        List<Operation> expired = queue.stream()
                .filter(operation -> operation.deadline().compareTo(now) <= 0)
                .toList();
        queue.removeAll(expired);
        return expired;
    }
}
