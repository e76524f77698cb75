package org.lavenderwick.standins;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteRequest;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.Term;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * State and replication of all endpoints of one database group, in memory. The first endpoint is the primary of term 1.
 * Replicas follow the primary of the newest term that they can reach, asynchronously. Thread-safe.
 */
public final class GroupEmulator implements AutoCloseable {

    /** Shared entries that the logs keep; they bound the memory and no truncation can reach behind them. */
    private static final long KEPT_ENTRIES = 1_000;

    private static final int TICKS_BETWEEN_TRIMS = 200;

    private final GroupName name;
    private final InstantSource clock;
    private final EndpointOptions options;
    private final EndpointHistory history;
    private final StandinRuntime runtime;
    private final RequestRunner runner;
    private final Map<EndpointName, Replica> replicas = new LinkedHashMap<>();
    private final Map<EndpointName, List<Waiting>> waiting = new LinkedHashMap<>();
    private final ScheduledFuture<?> ticks;
    private Instant lastTick;
    private int ticksToTrim = TICKS_BETWEEN_TRIMS;

    private GroupEmulator(
            GroupSettings settings,
            StandinRuntime runtime,
            EndpointOptions options,
            InstantSource clock,
            EndpointHistory history) {
        this.name = settings.name();
        this.clock = clock;
        this.options = options;
        this.history = history;
        this.runtime = runtime;
        this.runner = new RequestRunner(name, clock, options.clockAllowance(), history);
        this.lastTick = clock.instant();
        for (EndpointSettings endpoint : settings.endpoints()) {
            HostAndPort address = HostAndPort.fromString(endpoint.address());
            int block = StandinExchange.block(new InetSocketAddress(address.getHost(), address.getPort()));
            replicas.put(endpoint.name(), new Replica(endpoint.name(), block, replicas.isEmpty(), lastTick));
            waiting.put(endpoint.name(), new ArrayList<>());
        }
        replicas.values().forEach(this::recordTerm);
        long tickNanos = options.replicationTick().toNanos();
        this.ticks =
                runtime.timer().scheduleWithFixedDelay(this::replicate, tickNanos, tickNanos, TimeUnit.NANOSECONDS);
    }

    /** Returns a group whose replication runs until it is closed. */
    public static GroupEmulator start(
            GroupSettings settings,
            StandinRuntime runtime,
            EndpointOptions options,
            InstantSource clock,
            EndpointHistory history) {
        return new GroupEmulator(settings, runtime, options, clock, history);
    }

    /** Returns the name of the group. */
    public GroupName name() {
        return name;
    }

    /** Returns the state of an endpoint past all faults. */
    public synchronized EndpointStatus status(EndpointName endpoint) {
        return replica(endpoint).status(clock.instant());
    }

    /** Returns the committed value of a key at an endpoint past all faults, as JSON text. */
    public synchronized Optional<String> value(EndpointName endpoint, String key) {
        return replica(endpoint).value(key).map(Object::toString);
    }

    /** Changes how an endpoint follows its primary. */
    public synchronized void replication(EndpointName endpoint, Replication changed) {
        replica(endpoint).replication(changed);
    }

    @Override
    public void close() {
        ticks.cancel(false);
    }

    synchronized EndpointStatus seal(EndpointName endpoint, Term term) {
        Replica replica = replica(endpoint);
        if (replica.promise(term.number(), clock.instant())) {
            recordTerm(replica);
            retryWaiting(replica);
        }
        return replica.status(clock.instant());
    }

    synchronized EndpointStatus promote(EndpointName endpoint, Term term, long start) {
        Replica replica = replica(endpoint);
        boolean refused =
                term.number() < replica.promisedTerm() || term.number() <= replica.term() || replica.position() < start;
        if (!refused) {
            rollBackAll(replica, "The endpoint became primary of a later term.");
            truncate(replica, start);
            replica.promise(term.number(), clock.instant());
            replica.beginTerm(term.number(), start);
            replica.primary(true);
            history.record(new HistoryEvent.TermBegan(clock.instant(), name, endpoint, term, start));
            recordTerm(replica);
            retryWaiting(replica);
        }
        return replica.status(clock.instant());
    }

    /** Runs a request when the row locks allow it, and hands its answer over on a thread of the servers. */
    synchronized void execute(
            EndpointName endpoint, EndpointSession session, ExecuteRequest request, Consumer<ExecuteAnswer> receiver) {
        Replica replica = replica(endpoint);
        if (!replica.alive()) {
            return;
        }
        RequestRunner.Work work = new RequestRunner.Work(session, request);
        Optional<ExecuteAnswer> answer = runner.attempt(replica, work);
        if (answer.isPresent()) {
            deliver(receiver, answer.get());
            if (request.step() != TransactionStep.SINGLE) {
                retryWaiting(replica);
            }
            return;
        }
        Waiting entry = new Waiting(work, receiver);
        waiting.get(endpoint).add(entry);
        scheduleExpiry(replica, entry);
    }

    private void scheduleExpiry(Replica replica, Waiting entry) {
        runtime.timer()
                .schedule(() -> expire(replica, entry), options.lockTimeout().toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Rolls the transaction of a closed session back. */
    synchronized void sessionClosed(EndpointName endpoint, EndpointSession session) {
        Replica replica = replica(endpoint);
        runner.rollBack(replica, session, "The connection closed.");
        retryWaiting(replica);
    }

    /** Ends or resumes the work of an endpoint; its log, data and promised term are kept. */
    synchronized void alive(EndpointName endpoint, boolean alive) {
        Replica replica = replica(endpoint);
        replica.alive(alive);
        if (alive) {
            follow(replica, 0);
        } else {
            rollBackAll(replica, "The endpoint died.");
            waiting.get(endpoint).clear();
        }
    }

    synchronized void paused(EndpointName endpoint, boolean paused) {
        replica(endpoint).paused(paused);
    }

    synchronized void silentBlocks(EndpointName endpoint, Set<Integer> blocks) {
        replica(endpoint).silentBlocks(ImmutableSet.copyOf(blocks));
    }

    private Replica replica(EndpointName endpoint) {
        Replica replica = replicas.get(endpoint);
        checkArgument(replica != null, "group %s has no endpoint %s", name, endpoint);
        return replica;
    }

    /** Lets each endpoint follow its primary once. */
    synchronized void replicate() {
        Instant now = clock.instant();
        double seconds = Duration.between(lastTick, now).toNanos() / 1e9;
        lastTick = now;
        replicas.values().forEach(replica -> follow(replica, seconds));
        ticksToTrim--;
        if (ticksToTrim <= 0) {
            ticksToTrim = TICKS_BETWEEN_TRIMS;
            trim();
        }
    }

    private void follow(Replica replica, double seconds) {
        Optional<Replica> found = replicas.values().stream()
                .filter(other -> other != replica && other.primary() && other.reaches(replica))
                .filter(other ->
                        other.term() > replica.term() || (!replica.primary() && other.term() == replica.term()))
                .max(Comparator.comparingLong(Replica::term));
        if (found.isEmpty()) {
            return;
        }
        Replica primary = found.get();
        if (replica.primary()) {
            replica.primary(false);
            rollBackAll(replica, "The endpoint follows the primary of a later term.");
            recordTerm(replica);
            retryWaiting(replica);
        }
        if (!replica.replication().running()) {
            return;
        }
        long termBefore = replica.term();
        long promisedBefore = replica.promisedTerm();
        replica.promise(primary.term(), clock.instant());
        replica.grantEntries(seconds);
        Instant horizon = clock.instant().minus(replica.replication().lag());
        boolean truncated = truncate(replica, replica.commonPosition(primary));
        Optional<LogEntry> applied = replica.applyNext(primary, horizon);
        while (applied.isPresent()) {
            runner.recordWrites(replica, applied.get(), false);
            applied = replica.applyNext(primary, horizon);
        }
        replica.adoptHistory(primary, horizon, truncated);
        if (replica.term() != termBefore || replica.promisedTerm() != promisedBefore) {
            recordTerm(replica);
        }
    }

    private boolean truncate(Replica replica, long position) {
        if (replica.position() <= position) {
            return false;
        }
        history.record(new HistoryEvent.Truncated(clock.instant(), name, replica.name(), replica.point(), position));
        replica.truncate(position);
        return true;
    }

    private void trim() {
        Replica shortest = replicas.values().stream()
                .min(Comparator.comparingLong(Replica::position))
                .orElseThrow();
        long position = shortest.position();
        if (replicas.values().stream().allMatch(other -> other.commonPosition(shortest) == position)) {
            replicas.values().forEach(replica -> replica.trim(position - KEPT_ENTRIES));
        }
    }

    private void rollBackAll(Replica replica, String reason) {
        replica.transactions().sessions().forEach(session -> runner.rollBack(replica, session, reason));
    }

    /** Tries the waiting requests again, in the order of their arrival, after locks or the role changed. */
    private void retryWaiting(Replica replica) {
        for (Waiting entry : List.copyOf(waiting.get(replica.name()))) {
            runner.attempt(replica, entry.work()).ifPresent(answer -> {
                waiting.get(replica.name()).remove(entry);
                deliver(entry.receiver(), answer);
            });
        }
    }

    private synchronized void expire(Replica replica, Waiting entry) {
        if (replica.paused()) {
            scheduleExpiry(replica, entry);
        } else if (waiting.get(replica.name()).remove(entry)) {
            String detail = "The wait for a row lock timed out.";
            if (entry.work().request().step() != TransactionStep.SINGLE) {
                runner.rollBack(replica, entry.work().session(), detail);
            }
            deliver(
                    entry.receiver(),
                    runner.answer(replica, entry.work().request(), EndpointOutcome.STATEMENT_FAILED, detail));
            retryWaiting(replica);
        }
    }

    private void deliver(Consumer<ExecuteAnswer> receiver, ExecuteAnswer answer) {
        runtime.execute(() -> receiver.accept(answer));
    }

    private void recordTerm(Replica replica) {
        history.record(new HistoryEvent.TermChanged(
                clock.instant(),
                name,
                replica.name(),
                Term.of(replica.term()),
                Term.of(replica.promisedTerm()),
                replica.primary()));
    }

    private record Waiting(RequestRunner.Work work, Consumer<ExecuteAnswer> receiver) {}
}
