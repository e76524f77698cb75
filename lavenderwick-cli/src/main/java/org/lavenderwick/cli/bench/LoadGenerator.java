package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.standins.history.CallerOperation;
import org.lavenderwick.standins.history.OperationResult;

/**
 * Open-loop load: each request is sent at its time whether or not earlier ones have been answered, and its latency
 * counts from that time. Sessions move between daemons. A write with an unknown outcome is repeated with its key at
 * another daemon.
 */
final class LoadGenerator {
    private static final int KEYS = 200;
    private static final int MAX_ATTEMPTS = 5;

    /** Share of the operations before which a session moves to another daemon is one in this number. */
    private static final int OPERATIONS_PER_MOVE = 4;

    /** Time beyond the deadline after which a caller gives up on an answer. */
    private static final Duration CALLER_GRACE = Duration.ofSeconds(2);

    /** Time for the last answers; above the longest deadline with its repeats. */
    private static final Duration DRAIN = Duration.ofSeconds(20);

    private final List<String> daemons;
    private final HttpCaller caller;
    private final RunRecord record;
    private final Map<ArrivalStream, ConcurrentLinkedQueue<CallerSession>> idle = new HashMap<>();
    private final AtomicInteger underWay = new AtomicInteger();
    private int sessions;

    LoadGenerator(List<String> daemons, HttpCaller caller, RunRecord record) {
        this.daemons = ImmutableList.copyOf(daemons);
        this.caller = caller;
        this.record = record;
    }

    /** Sends all arrivals and waits for the answers. */
    void run(List<ArrivalStream> streams) throws InterruptedException {
        PriorityQueue<ArrivalStream> queue = new PriorityQueue<>(Comparator.comparing(ArrivalStream::next));
        for (ArrivalStream stream : streams) {
            idle.put(stream, new ConcurrentLinkedQueue<>());
            if (stream.open()) {
                queue.add(stream);
            }
        }
        while (!queue.isEmpty()) {
            ArrivalStream stream = queue.poll();
            long wait = stream.next().minus(record.now()).toNanos();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            start(stream);
            stream.advance();
            if (stream.open()) {
                queue.add(stream);
            }
        }
        Duration end = record.now().plus(DRAIN);
        while (underWay.get() > 0 && record.now().compareTo(end) < 0) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private void start(ArrivalStream stream) {
        Random random = stream.choices();
        CallerSession session = idle.get(stream).poll();
        if (session == null) {
            session = new CallerSession("s" + sessions, random.nextInt(daemons.size()));
            sessions++;
        } else if (random.nextInt(OPERATIONS_PER_MOVE) == 0) {
            session.moveTo(random.nextInt(daemons.size()));
        }
        boolean write = random.nextDouble() < stream.workload().writeShare();
        String key = write ? "k" + random.nextInt(KEYS) : session.keyToRead(random, KEYS);
        Operation operation = new Operation(
                stream.workload(),
                stream.writer(),
                session,
                write,
                key,
                write ? Optional.of(session.newValue()) : Optional.empty(),
                session.lastWrite(),
                stream.next());
        underWay.incrementAndGet();
        record.started(stream.next());
        attempt(stream, operation, 1);
    }

    private void attempt(ArrivalStream stream, Operation operation, int number) {
        Duration sentAt = record.now();
        String url = "http://" + daemons.get(operation.session().daemon()) + operation.path();
        caller.post(url, operation.body(), operation.workload().deadline().plus(CALLER_GRACE))
                .thenAccept(reply -> answered(stream, operation, number, sentAt, reply));
    }

    private void answered(ArrivalStream stream, Operation operation, int number, Duration sentAt, Reply reply) {
        Duration now = record.now();
        CallerSession session = operation.session();
        record.attempted(new CallerOperation(
                session.name(),
                operation.workload().group(),
                operation.write(),
                operation.key(),
                operation.write() ? operation.value() : reply.value(),
                reply.result(),
                sentAt,
                now,
                reply.endpoint()));
        session.answered(operation.write(), operation.key(), operation.value(), reply);
        if (operation.write() && reply.result() == OperationResult.UNKNOWN && number < MAX_ATTEMPTS) {
            session.moveTo((session.daemon() + 1) % daemons.size());
            attempt(stream, operation, number + 1);
            return;
        }
        record.ended(new Outcome(operation, reply.result(), reply.atPrimary(), reply.kind(), sentAt, now));
        idle.get(stream).add(session);
        underWay.decrementAndGet();
    }
}
