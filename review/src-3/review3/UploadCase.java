package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lavenderwick.platform.standin.OperatorStandin;

/**
 * Case 13: many clients at once send writes of a size that the pages allow, each over two seconds. The rule of faults is
 * broken if the processes of two daemons end by themselves three times each. Without trouble, the same clients send the
 * same writes, but only a few at a time.
 */
public final class UploadCase {

    private static final String ROUTE = "orders";

    /** A little less than the largest message, which has 1 MiB. */
    private static final int WRITE_BYTES = 1_048_000;

    private static final int PARTS = 40;

    private static final int PART_PAUSE_MILLIS = 50;

    private static final int CLIENTS = 208;

    private static final int CALM_CLIENTS_AT_ONCE = 24;

    private static final int ROUNDS = 3;

    private static final int ENDS_OF_A_FAULT = 3;

    private final Record record;
    private final boolean trouble;
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
    private final String part = "x".repeat(WRITE_BYTES / PARTS);

    private UploadCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case; the arguments are the file of the record and the value of TROUBLE. */
    public static void main(String[] arguments) {
        Result result = Result.FAILED;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try (Fleet fleet = new Fleet(record, 2)) {
                result = new UploadCase(record, !arguments[1].equals("0")).run(fleet);
            }
            record.line("result: %s", result);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(result.status());
    }

    private Result run(Fleet fleet) throws IOException, InterruptedException {
        OperatorStandin.configure(fleet.store(), 1, ROUTE, "primary", Fleet.SERVICE, 1000, 21);
        fleet.start(ROUTE);
        fleet.database().work(Duration.ofMillis(8));
        Thread.sleep(4000);
        Map<Fleet.Daemon, Integer> ends = new HashMap<>();
        for (int round = 1; round <= ROUNDS; round++) {
            sendWrites(fleet, round);
            Thread.sleep(500);
            for (Fleet.Daemon daemon : fleet.daemons()) {
                if (!daemon.isAlive()) {
                    ends.merge(daemon, 1, Integer::sum);
                    record.line(
                            "%s has ended by itself with status %d: %s",
                            daemon, daemon.process().exitValue(), daemon.logLines("OutOfMemoryError"));
                    daemon.start();
                }
            }
            for (Fleet.Daemon daemon : fleet.daemons()) {
                daemon.awaitServing(ROUTE);
            }
            // Long enough for the daemons to be in touch again.
            Thread.sleep(4500);
        }
        record.line("answers: %s", results);
        record.line("requests that were sent whole and got no answer: %s", List.copyOf(unanswered));
        record.line("ends of processes: %s", ends);
        long faulty = ends.values().stream().filter(count -> count >= ENDS_OF_A_FAULT).count();
        return faulty >= 2 ? Result.BROKEN : Result.HELD;
    }

    /** Each client opens a session, then all send one write each, and wait for its answer. */
    private void sendWrites(Fleet fleet, int round) throws InterruptedException {
        record.line("round %d: %d clients send a write of %d bytes each", round, CLIENTS, WRITE_BYTES);
        ExecutorService threads = Executors.newCachedThreadPool();
        CountDownLatch opened = new CountDownLatch(CLIENTS);
        Semaphore turns = new Semaphore(trouble ? CLIENTS : CALM_CLIENTS_AT_ONCE);
        for (int number = 0; number < CLIENTS; number++) {
            Fleet.Daemon daemon = fleet.daemons().get(number % fleet.daemons().size());
            String id = "r" + round + "w" + number;
            threads.execute(() -> {
                String result;
                try (Client client = new Client(daemon.callers(), 16 << 10)) {
                    boolean ready = client.connect(ROUTE).startsWith("READY");
                    opened.countDown();
                    opened.await();
                    turns.acquire();
                    try {
                        result = ready ? write(client, id) : "not opened";
                    } finally {
                        turns.release();
                    }
                } catch (IOException e) {
                    opened.countDown();
                    result = "connection lost before the request was whole";
                } catch (InterruptedException e) {
                    return;
                }
                results.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
            });
        }
        threads.shutdown();
        if (!threads.awaitTermination(90, TimeUnit.SECONDS)) {
            threads.shutdownNow();
        }
        record.line("round %d: %s", round, results);
    }

    private String write(Client client, String id) throws IOException, InterruptedException {
        client.sendPart("QUERY " + id + " WRITE item-" + id + " ");
        for (int index = 0; index < PARTS; index++) {
            client.sendPart(part);
            Thread.sleep(PART_PAUSE_MILLIS);
        }
        client.sendPart("\r\n");
        try {
            client.timeout(8000);
            Client.Answer answer = client.answer();
            if (answer.isWhole()) {
                return answer.isSuccess() ? "success" : answer.result().split(" ")[1];
            }
        } catch (IOException e) {
            record.line("%s: %s", id, e.getMessage());
        }
        unanswered.add(id);
        return "no answer to a whole request";
    }
}
