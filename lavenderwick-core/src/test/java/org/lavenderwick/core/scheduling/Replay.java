package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.scheduling.Load.Call;

/** Runs a load against three endpoints in simulated time. Rejected callers come back when told to, at most twice. */
final class Replay {

    /** The decisions under test. */
    interface Policy {
        /** Returns the delay after which to retry if the operation is rejected. */
        Optional<Duration> arrive(Operation operation, Duration now);

        void dispatch(Replay endpoints, Duration now);

        void onFinished(Operation operation, Duration slotTime);

        void cancel(Operation operation);

        List<Operation> removeExpired(Duration now);
    }

    /** An endpoint with its slots and the operations that wait inside of it. */
    static final class Endpoint {
        final EndpointName name;
        final boolean primary;
        int running;
        final ArrayDeque<Call> queued = new ArrayDeque<>();

        Endpoint(String name, boolean primary) {
            this.name = EndpointName.of(name);
            this.primary = primary;
        }

        EndpointLoad load() {
            return new EndpointLoad(name, primary, true, running + queued.size(), Load.SLOTS, false);
        }
    }

    /** The value of the calls that are no flood, and what is missing to the full value, by cause. */
    record Result(double value, double full, Map<String, Double> gaps) {
        double part() {
            return value / full;
        }

        @Override
        public String toString() {
            return String.format("%.4f, gap by cause %s", part(), gaps);
        }
    }

    private record Event(Duration at, long order, Runnable action) {}

    final List<Endpoint> endpoints =
            List.of(new Endpoint("p", true), new Endpoint("r1", false), new Endpoint("r2", false));
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<Long, Duration> sentAt = new HashMap<>();
    private final Map<Long, String> lost = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
    private final Policy policy;
    private Duration now = Duration.ZERO;
    private long eventCount;
    private double value;
    private double full;
    private final Map<String, Double> gaps = new TreeMap<>();

    Replay(Policy policy) {
        this.policy = policy;
    }

    boolean mayServe(Endpoint endpoint, Operation operation) {
        return endpoint.primary || readyAt(operation).compareTo(now) <= 0;
    }

    Duration readyAt(Operation operation) {
        return calls.get(operation.id()).replicaReadyAt();
    }

    private void at(Duration time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    Result run(List<Call> load) {
        load.forEach(call -> calls.put(call.operation().id(), call));
        load.forEach(call -> at(call.operation().arrivedAt(), () -> arrive(call, 0)));
        load.stream()
                .filter(call -> call.leavesAt().compareTo(Load.NEVER) < 0)
                .forEach(call -> at(call.leavesAt(), () -> policy.cancel(call.operation())));
        long last = load.get(load.size() - 1).operation().arrivedAt().toMillis() + 6000;
        for (long tick = 0; tick < last; tick += 10) {
            at(Load.ms(tick), () -> policy.removeExpired(now).forEach(operation -> lose(operation, "no slot in time")));
        }
        while (!events.isEmpty()) {
            Event event = events.remove();
            now = event.at;
            event.action.run();
            policy.dispatch(this, now);
        }
        load.stream().filter(call -> !call.flood()).forEach(call -> full += call.value(false));
        calls.values().stream()
                .filter(call -> !call.flood())
                .forEach(
                        call -> // what was never answered
                        gap(
                                        lost.getOrDefault(call.operation().id(), "caller left") + " of rank "
                                                + call.operation().rank(),
                                        call.value(false)));
        gaps.replaceAll((cause, missing) -> Math.round(missing / full * 1e4) / 1e4);
        return new Result(value, full, gaps);
    }

    private void arrive(Call call, int retries) {
        if (call.leavesAt().compareTo(now) <= 0) {
            return;
        }
        Optional<Duration> rejected = policy.arrive(call.operation(), now);
        if (rejected.isPresent()) {
            lose(call.operation(), "rejected");
            Duration again = now.plus(rejected.get());
            if (retries < 2 && again.compareTo(call.operation().deadline()) < 0) {
                at(again, () -> arrive(call, retries + 1));
            }
        }
    }

    private void lose(Operation operation, String cause) {
        lost.put(operation.id(), cause);
    }

    private void gap(String cause, double missing) {
        gaps.merge(cause, missing, Double::sum);
    }

    void start(Operation operation, EndpointName name) {
        Endpoint endpoint = endpoints.stream()
                .filter(each -> each.name.equals(name))
                .findFirst()
                .get();
        endpoint.queued.add(calls.get(operation.id()));
        sentAt.put(operation.id(), now);
        fill(endpoint);
    }

    private void fill(Endpoint endpoint) {
        while (endpoint.running < Load.SLOTS && !endpoint.queued.isEmpty()) {
            Call call = endpoint.queued.remove();
            endpoint.running++;
            at(now.plus(call.work()), () -> {
                endpoint.running--;
                fill(endpoint);
                finish(call);
            });
        }
    }

    private void finish(Call call) {
        Operation operation = call.operation();
        policy.onFinished(operation, now.minus(sentAt.get(operation.id())));
        boolean late = now.compareTo(operation.dueAt()) > 0;
        boolean counts = now.compareTo(call.leavesAt()) < 0 && now.compareTo(operation.deadline()) < 0;
        if (counts && !call.flood()) {
            calls.put(operation.id(), new Call(operation, call.work(), call.replicaReadyAt(), call.leavesAt(), true));
            value += call.value(late);
            gap("late of rank " + operation.rank(), call.value(false) - call.value(late));
        } else if (!call.flood() && call.leavesAt().equals(Load.NEVER)) {
            lose(operation, "after the deadline");
        }
    }
}
