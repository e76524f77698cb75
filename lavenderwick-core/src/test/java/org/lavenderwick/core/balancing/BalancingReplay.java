package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.lavenderwick.core.balancing.ReplayScenario.Operation;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.dispatch.EndpointSelector;
import org.lavenderwick.core.dispatch.UnresponsiveEndpointDetector;
import org.lavenderwick.core.model.EndpointName;

/**
 * A discrete-event simulation of the owners and endpoints of one group, without threads or sockets. Owners follow the
 * retry rules of the session path. An endpoint queues as many statements as it has slots and rejects more.
 */
final class BalancingReplay {
    private static final int OWNERS = 14;
    private static final int BYTES = 530;
    private static final double RETRY_DELAY = 15;
    private static final double TICK = 20;

    private record Event(double time, long order, Runnable action) {}

    private static final class Statement {
        private final Operation operation;
        private final Set<Integer> excluded = new HashSet<>();
        private double deferredUntil;
        private int sends;
        private boolean done;

        Statement(Operation operation) {
            this.operation = operation;
        }
    }

    private final class Endpoint {
        private final int index;
        private final List<Runnable> waiting = new ArrayList<>();
        private final List<Runnable> losses = new ArrayList<>();
        private int running;

        Endpoint(int index) {
            this.index = index;
        }

        void receive(Owner owner, Statement statement, double sentAt) {
            double back = scenario.oneWay(owner.domain, index);
            if (!scenario.isUp(index, now)) {
                at(now + back, () -> owner.onFinished(statement, index, sentAt, StatementOutcome.LOST));
            } else if (scenario.isHanging(index, now) || scenario.isCutOff(owner.domain, index, now)) {
                at(
                        statement.operation.deadline(),
                        () -> owner.onFinished(statement, index, sentAt, StatementOutcome.LOST));
            } else if (running < ReplayScenario.SLOTS) {
                start(owner, statement, sentAt);
            } else if (waiting.size() < ReplayScenario.SLOTS) {
                waiting.add(() -> start(owner, statement, sentAt));
            } else {
                rejected++;
                at(now + back, () -> owner.onFinished(statement, index, sentAt, StatementOutcome.REJECTED));
            }
        }

        private void start(Owner owner, Statement statement, double sentAt) {
            running++;
            double end = now + statement.operation.work() * scenario.slowness(index, now);
            boolean fails = random.nextDouble() < scenario.failureShare(index);
            at(end, () -> {
                boolean lost = !scenario.isUp(index, now);
                running--;
                if (!waiting.isEmpty()) {
                    waiting.remove(0).run();
                }
                StatementOutcome outcome =
                        lost ? StatementOutcome.LOST : fails ? StatementOutcome.FAILED : StatementOutcome.SUCCEEDED;
                at(
                        now + scenario.oneWay(owner.domain, index),
                        () -> owner.onFinished(statement, index, sentAt, outcome));
            });
        }
    }

    private final class Owner {
        private final int domain;
        private final GroupBalancer balancer;
        private long explored;
        private long explorations;
        private final List<Statement> queue = new ArrayList<>();
        private final int[] inFlight = new int[ReplayScenario.DOMAINS];
        private final double[] connectFailedUntil = new double[ReplayScenario.DOMAINS];
        private final UnresponsiveEndpointDetector[] detectors =
                new UnresponsiveEndpointDetector[ReplayScenario.DOMAINS];

        Owner(int index) {
            domain = index % ReplayScenario.DOMAINS;
            balancer = GroupBalancer.create(new Random(index), BalancingListener.NONE, OptionalDouble.empty());
            for (int endpoint = 0; endpoint < ReplayScenario.DOMAINS; endpoint++) {
                detectors[endpoint] = UnresponsiveEndpointDetector.create(Duration.ofMillis(700));
                balancer.onConnected(name(endpoint), time(2 * scenario.oneWay(domain, endpoint)), time(0));
            }
        }

        void tick() {
            balancer.refresh(time(now));
            dispatch();
        }

        void dispatch() {
            queue.sort(Comparator.<Statement>comparingInt(statement -> statement.operation.rank())
                    .thenComparing(statement -> now > statement.operation.arrival() + statement.operation.target())
                    .thenComparingDouble(statement -> statement.operation.arrival()));
            queue.removeIf(statement -> statement.deferredUntil <= now && start(statement));
        }

        private boolean start(Statement statement) {
            Operation operation = statement.operation;
            List<EndpointLoad> loads = new ArrayList<>();
            for (int endpoint = 0; endpoint < ReplayScenario.DOMAINS; endpoint++) {
                boolean eligible = endpoint == 0 || (operation.rank() > 0 && !statement.excluded.contains(endpoint));
                if (eligible && connectFailedUntil[endpoint] <= now) {
                    int ceiling = EndpointSelector.limitPerDaemon(ReplayScenario.SLOTS, OWNERS);
                    loads.add(new EndpointLoad(
                            name(endpoint),
                            endpoint == 0,
                            domain == endpoint,
                            inFlight[endpoint],
                            balanced ? balancer.limit(name(endpoint), ceiling) : ceiling,
                            detectors[endpoint].isUnresponsive(time(now))));
                }
            }
            Optional<EndpointLoad> selected = balanced
                    ? balancer.select(
                            new BalancedStatement(
                                    operation.rank(),
                                    operation.rank() == 0,
                                    operation.rank() > 0 && statement.sends == 0,
                                    time(now - operation.arrival()),
                                    time(operation.target()),
                                    EndpointSelector::select),
                            loads,
                            Set.of(),
                            time(now))
                    : EndpointSelector.select(loads, operation.rank());
            selected.ifPresent(
                    load -> send(statement, Integer.parseInt(load.name().value())));
            return selected.isPresent();
        }

        private void send(Statement statement, int endpoint) {
            double sentAt = now;
            if (!scenario.isUp(endpoint, now)) {
                // The attempt to connect fails before the statement is sent.
                connectFailedUntil[endpoint] = now + 200;
                balancer.onConnectFailed(name(endpoint), time(now));
                requeue(statement, RETRY_DELAY);
                return;
            }
            statement.sends++;
            inFlight[endpoint]++;
            sentTo[endpoint]++;
            if (domain != endpoint) {
                bytes += BYTES;
                crossings.add(new Crossing(now, domain, endpoint, statement.operation.rank(), explorations > 0));
            }
            detectors[endpoint].onRequestSent(time(now));
            balancer.onSent(name(endpoint), time(now));
            at(
                    now + scenario.oneWay(domain, endpoint),
                    () -> endpoints.get(endpoint).receive(this, statement, sentAt));
        }

        void onFinished(Statement statement, int endpoint, double sentAt, StatementOutcome outcome) {
            inFlight[endpoint]--;
            Operation operation = statement.operation;
            if (outcome != StatementOutcome.LOST) {
                detectors[endpoint].onResponse(time(now), inFlight[endpoint] > 0);
                balancer.onResponse(name(endpoint), time(sentAt), time(now));
            }
            balancer.onFinished(
                    name(endpoint),
                    "rank" + operation.rank(),
                    operation.rank() == 0,
                    time(sentAt),
                    time(sentAt),
                    outcome,
                    time(now));
            boolean mayRepeat = operation.rank() > 0 && statement.sends < 2 && now < operation.deadline();
            if (outcome == StatementOutcome.SUCCEEDED && !statement.done) {
                value += operation.value(now);
                statement.done = true;
            } else if (outcome == StatementOutcome.REJECTED) {
                statement.sends--;
                requeue(statement, RETRY_DELAY);
            } else if (mayRepeat) {
                if (outcome == StatementOutcome.FAILED) {
                    statement.excluded.add(endpoint);
                }
                requeue(statement, RETRY_DELAY);
            }
            dispatch();
        }

        private void requeue(Statement statement, double delay) {
            statement.deferredUntil = now + delay;
            if (now < statement.operation.deadline()) {
                at(now, () -> queue.add(statement));
                at(now + delay, this::dispatch);
            }
        }
    }

    private final ReplayScenario scenario;
    private final boolean balanced;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::order));
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Owner> owners = new ArrayList<>();
    private final List<Crossing> crossings = new ArrayList<>();
    private final long[] sentTo = new long[ReplayScenario.DOMAINS];
    private double now;
    private long order;
    private double value;
    private long bytes;
    private long rejected;

    private BalancingReplay(ReplayScenario scenario, long seed, boolean balanced) {
        this.scenario = scenario;
        this.balanced = balanced;
        this.random = new Random(seed);
        for (int index = 0; index < ReplayScenario.DOMAINS; index++) {
            endpoints.add(new Endpoint(index));
        }
        for (int index = 0; index < OWNERS; index++) {
            owners.add(new Owner(index));
        }
    }

    /** A statement that was sent to an endpoint of another failure domain. */
    record Crossing(double time, int from, int to, int rank, boolean exploration) {}

    /** What a replay achieved. */
    record Result(double value, long bytes, long rejected, long[] sentTo, List<Crossing> crossings) {
        Result plus(Result other) {
            long[] sent = new long[sentTo.length];
            Arrays.setAll(sent, index -> sentTo[index] + other.sentTo[index]);
            return new Result(value + other.value, bytes + other.bytes, rejected + other.rejected, sent, List.of());
        }

        @Override
        public String toString() {
            return String.format(
                    "value %.1f, bytes %d, rejected %d, sent %s", value, bytes, rejected, Arrays.toString(sentTo));
        }
    }

    static Result run(ReplayScenario scenario, long seed, boolean balanced) {
        return new BalancingReplay(scenario, seed, balanced).run(seed);
    }

    private Result run(long seed) {
        for (Operation operation : scenario.operations(seed)) {
            List<Owner> near = owners.stream()
                    .filter(owner -> owner.domain == operation.domain())
                    .toList();
            Owner owner = near.get(random.nextInt(near.size()));
            Statement statement = new Statement(operation);
            at(operation.arrival(), () -> {
                owner.queue.add(statement);
                owner.dispatch();
            });
            at(operation.deadline(), () -> owner.queue.remove(statement));
        }
        for (double time = 0; time < scenario.duration() + 6000; time += TICK) {
            at(time, () -> owners.forEach(Owner::tick));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        return new Result(value, bytes, rejected, sentTo, crossings);
    }

    private void at(double time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private static Duration time(double millis) {
        return Duration.ofNanos((long) (millis * 1e6));
    }

    private static EndpointName name(int index) {
        return EndpointName.of(Integer.toString(index));
    }
}
