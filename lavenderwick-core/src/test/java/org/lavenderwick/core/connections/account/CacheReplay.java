package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.lavenderwick.core.account.AccountName;

/** Replays operations of many accounts over the connections to one endpoint, in simulated time. */
final class CacheReplay {

    static final Duration OPEN_TIME = Duration.ofMillis(12);

    /** An operation of an account. */
    record Operation(Duration arrivedAt, Optional<AccountName> account, Duration serviceTime) {}

    /** What a replay measured. */
    record Result(int operations, int waitedForNew, int opened) {

        double waitedPart() {
            return (double) waitedForNew / operations;
        }

        Duration openingTime() {
            return OPEN_TIME.multipliedBy(opened);
        }
    }

    private record Event(Duration at, Runnable action) {}

    private final int maximum;
    private final List<Operation> operations;
    private final Map<Optional<AccountName>, List<Duration>> arrivals = new HashMap<>();
    private final Map<Optional<AccountName>, Integer> arrived = new HashMap<>();
    private final AccountUse use = AccountUse.create(AccountConnectionCache.USE_WINDOW);
    private final List<FakeConnection> connections = new ArrayList<>();
    private final List<Operation> waiting = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparing(Event::at));
    private AccountConnectionCache<FakeConnection> cache;
    private Duration now = Duration.ZERO;
    private int waitedForNew;
    private int opened;

    private CacheReplay(int maximum, List<Operation> operations) {
        this.maximum = maximum;
        this.operations = operations;
        operations.forEach(operation -> arrivals.computeIfAbsent(operation.account(), name -> new ArrayList<>())
                .add(operation.arrivedAt()));
        connections.add(FakeConnection.idle(Optional.empty(), Duration.ZERO));
    }

    /**
     * Returns random operations whose accounts differ in size by a power law.
     *
     * @param hotFactor factor by which the rate of one small account grows in the middle third
     */
    static List<Operation> powerLaw(
            long seed, int accounts, double exponent, double perSecond, Duration length, double hotFactor) {
        Random random = new Random(seed);
        List<Operation> operations = new ArrayList<>();
        double total = 0;
        for (int rank = 1; rank <= accounts; rank++) {
            total += Math.pow(rank, -exponent);
        }
        for (int rank = 1; rank <= accounts; rank++) {
            Optional<AccountName> account = Optional.of(AccountName.of("account-" + rank));
            double rate = perSecond * Math.pow(rank, -exponent) / total;
            double seconds = 0;
            while (true) {
                double third = seconds * 3e9 / length.toNanos();
                double current = rate * (rank == accounts / 4 && third > 1 && third < 2 ? hotFactor : 1);
                seconds += -Math.log(1 - random.nextDouble()) / current;
                if (seconds * 1e9 > length.toNanos()) {
                    break;
                }
                long serviceNanos = (long) (-Math.log(1 - random.nextDouble()) * 33e6);
                operations.add(new Operation(
                        Duration.ofNanos((long) (seconds * 1e9)), account, Duration.ofNanos(serviceNanos)));
            }
        }
        operations.sort(Comparator.comparing(Operation::arrivedAt));
        return operations;
    }

    /** Replays with the rule of {@link AccountConnectionCache}. */
    static Result byExpectedUse(int maximum, List<Operation> operations) {
        CacheReplay replay = new CacheReplay(maximum, operations);
        return replay.run(AccountConnectionCache.byExpectedUse(replay.use));
    }

    /** Replays with the eviction of the connection that has been unused for the longest time. */
    static Result leastRecentlyUsed(int maximum, List<Operation> operations) {
        return new CacheReplay(maximum, operations)
                .run((connection, ofAccount, now) -> connection.lastUsedAt().toNanos());
    }

    /** Replays with the eviction, in hindsight, of the connection that is used again last. */
    static Result furthestNextUse(int maximum, List<Operation> operations) {
        CacheReplay replay = new CacheReplay(maximum, operations);
        return replay.run((connection, ofAccount, now) -> -replay.nextUse(connection.account()));
    }

    /** Returns when the last of the idle connections of an account is used again. */
    private double nextUse(Optional<AccountName> account) {
        int idle = (int) connections.stream()
                .filter(connection ->
                        connection.isIdle() && connection.account().equals(account))
                .count();
        List<Duration> all = arrivals.getOrDefault(account, List.of());
        int index = arrived.getOrDefault(account, 0) + idle - 1;
        return index < all.size() ? all.get(index).toNanos() : Double.MAX_VALUE;
    }

    private Result run(EvictionOrder<FakeConnection> order) {
        cache = new AccountConnectionCache<>(use, order, AccountConnection::isIdle);
        operations.forEach(operation -> events.add(new Event(operation.arrivedAt(), () -> {
            arrived.merge(operation.account(), 1, Integer::sum);
            waiting.add(operation);
        })));
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
            startWaiting();
        }
        if (!waiting.isEmpty() || connections.size() > maximum) {
            throw new IllegalStateException(waiting.size() + " operations left, " + connections.size() + " open");
        }
        return new Result(operations.size(), waitedForNew, opened);
    }

    private void startWaiting() {
        cache.beginPass();
        for (Iterator<Operation> iterator = waiting.iterator(); iterator.hasNext(); ) {
            Operation operation = iterator.next();
            Optional<FakeConnection> idle = cache.idle(connections, operation.account(), connection -> true);
            if (idle.isPresent()) {
                iterator.remove();
                start(operation, idle.get());
                continue;
            }
            MissDecision<FakeConnection> decision = cache.onMiss(connections, operation.account(), maximum, now);
            if (decision.action() == MissDecision.Action.OPEN) {
                decision.evicted().ifPresent(connections::remove);
                open(operation.account());
            }
        }
    }

    private void start(Operation operation, FakeConnection connection) {
        waitedForNew += connection.served() == 0 && now.compareTo(operation.arrivedAt()) > 0 ? 1 : 0;
        connection.run(now);
        cache.recordUse(operation.account(), now);
        events.add(new Event(now.plus(operation.serviceTime()), () -> {
            connection.finish();
            cache.recordServed(operation.serviceTime());
        }));
    }

    private void open(Optional<AccountName> account) {
        FakeConnection connection = FakeConnection.opening(account, now);
        connections.add(connection);
        opened++;
        events.add(new Event(now.plus(OPEN_TIME), () -> {
            connection.finish();
            cache.recordOpened(OPEN_TIME);
        }));
    }
}
