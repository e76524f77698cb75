package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.lavenderwick.core.dispatch.EndpointSelector;
import org.lavenderwick.core.scheduling.Replay.Endpoint;

/** The policy under test, offering free slots as the daemon does. */
final class SchedulerPolicy implements Replay.Policy {

    private final GroupScheduler scheduler;
    private Replay endpoints;

    SchedulerPolicy() {
        scheduler = GroupScheduler.create((operation, now) -> Optional.of(endpoints.readyAt(operation)), new Random(1));
    }

    @Override
    public Optional<Duration> arrive(Operation operation, Duration now) {
        return scheduler.arrive(operation, now) instanceof AdmissionDecision.Rejected rejected
                ? Optional.of(rejected.retryAfter())
                : Optional.empty();
    }

    @Override
    public void dispatch(Replay current, Duration now) {
        endpoints = current;
        scheduler.updateSlots(current.endpoints.stream()
                .map(endpoint -> new EndpointSlots(endpoint.name, endpoint.primary, Load.SLOTS))
                .toList());
        boolean progress = scheduler.waitingCount() > 0;
        while (progress) {
            progress = false;
            List<Endpoint> preferred = current.endpoints.stream()
                    .sorted(Comparator.comparing((Endpoint endpoint) -> endpoint.primary)
                            .thenComparing(endpoint -> endpoint.load().inFlight()))
                    .toList();
            for (Endpoint endpoint : preferred) {
                int maxRank = 9;
                while (maxRank >= 0
                        && endpoint.load().inFlight() >= EndpointSelector.limitForRank(endpoint.load(), maxRank)) {
                    maxRank--;
                }
                Optional<Operation> next = maxRank < 0
                        ? Optional.empty()
                        : scheduler.dispatch(
                                new FreeSlot(
                                        endpoint.name,
                                        endpoint.primary,
                                        maxRank,
                                        endpoint.load().inFlight() * 2 >= Load.SLOTS,
                                        operation -> current.mayServe(endpoint, operation)),
                                now);
                if (next.isPresent()) {
                    current.start(next.get(), endpoint.name);
                    progress = true;
                    break;
                }
            }
        }
    }

    @Override
    public void onFinished(Operation operation, Duration slotTime) {
        scheduler.onFinished(operation, slotTime);
    }

    @Override
    public void cancel(Operation operation) {
        scheduler.cancel(operation);
    }

    @Override
    public List<Operation> removeExpired(Duration now) {
        return scheduler.removeExpired(now);
    }
}
