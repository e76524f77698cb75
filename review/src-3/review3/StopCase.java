package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.lavenderwick.platform.standin.OperatorStandin;

/**
 * Case 12: three daemons of one zone serve sessions of one operation each, and two of them get SIGTERM in turn, 1.3 s apart.
 * LOST is broken if a request that was passed to an endpoint gets no complete answer.
 */
public final class StopCase {

    private static final String ROUTE = "orders";

    private static final double SESSIONS_PER_SECOND = 150;

    private static final long LAST_STOP_MILLIS = 90_000;

    /** The pause between two stops in the site file. */
    private static final long GAP_MILLIS = 1300;

    private static final long GRACE_MILLIS = 6000;

    /** A request whose connection ended without a complete answer. */
    private record Cut(String id, Fleet.Daemon daemon, long sentAt, long endedAt) {}

    private final Record record;
    private final boolean trouble;
    private final Queue<Cut> cuts = new ConcurrentLinkedQueue<>();
    private final Map<Fleet.Daemon, Long> stoppedAt = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private final AtomicBoolean sending = new AtomicBoolean(true);

    private StopCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case; the arguments are the file of the record and the value of TROUBLE. */
    public static void main(String[] arguments) {
        Result result = Result.FAILED;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try (Fleet fleet = new Fleet(record, 3)) {
                result = new StopCase(record, !arguments[1].equals("0")).run(fleet);
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
        fleet.database().work(Duration.ofMillis(20));
        Balancer balancer = new Balancer(record, fleet.daemons());
        Thread.sleep(3000);
        ExecutorService threads = Executors.newCachedThreadPool();
        Thread generator = new Thread(() -> generate(balancer, threads), "clients");
        generator.start();
        Thread.sleep(2000);
        Set<String> lost = Set.of();
        for (int round = 0; lost.isEmpty() && record.now() < LAST_STOP_MILLIS; round++) {
            stopTwo(fleet, round);
            lost = lost(fleet);
        }
        sending.set(false);
        generator.join();
        threads.shutdown();
        threads.awaitTermination(5, TimeUnit.SECONDS);
        lost = lost(fleet);
        record.line("answers: %s", results);
        record.line("requests that an endpoint received and that got no complete answer: %s", lost);
        for (String id : lost) {
            fleet.database().runs().stream()
                    .filter(run -> run.id().equals(id))
                    .forEach(run -> record.line("%s ran at %s: %s", id, run.endpoint(), run.text()));
        }
        return lost.isEmpty() ? Result.HELD : Result.BROKEN;
    }

    private void stopTwo(Fleet fleet, int round) throws IOException, InterruptedException {
        Fleet.Daemon first = fleet.daemons().get(round % 3);
        Fleet.Daemon second = fleet.daemons().get((round + 1) % 3);
        if (!trouble) {
            Thread.sleep(6500);
            return;
        }
        stop(first);
        Thread.sleep(GAP_MILLIS);
        stop(second);
        restart(first);
        restart(second);
        first.awaitServing(ROUTE);
        second.awaitServing(ROUTE);
        Thread.sleep(2500);
    }

    private void stop(Fleet.Daemon daemon) {
        stoppedAt.put(daemon, record.now());
        record.line("SIGTERM to %s", daemon);
        daemon.process().destroy();
    }

    private void restart(Fleet.Daemon daemon) throws IOException, InterruptedException {
        record.line("%s has ended with status %d", daemon, daemon.process().waitFor());
        Thread.sleep(200);
        daemon.start();
    }

    private void generate(Balancer balancer, ExecutorService threads) {
        Random random = new Random(51);
        for (int number = 1; sending.get(); number++) {
            String id = "q" + number;
            Fleet.Daemon daemon = balancer.choose();
            threads.execute(() -> results.computeIfAbsent(operate(daemon, id), key -> new AtomicInteger())
                    .incrementAndGet());
            try {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) / SESSIONS_PER_SECOND * 1000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Opens a session, sends one write and returns the kind of the result. */
    private String operate(Fleet.Daemon daemon, String id) {
        long sentAt = -1;
        try (Client client = new Client(daemon.callers(), 16 << 10)) {
            String opened = client.connect(ROUTE);
            if (!opened.startsWith("READY")) {
                return "not opened";
            }
            client.timeout(4000);
            client.send("QUERY " + id + " WRITE item-" + id + " value-" + id);
            sentAt = record.now();
            Client.Answer answer = client.answer();
            if (answer.isWhole()) {
                client.send("QUIT");
                return answer.isSuccess() ? "success" : answer.result().split(" ")[1];
            }
        } catch (IOException e) {
            if (sentAt < 0) {
                return "no connection";
            }
        }
        Cut cut = new Cut(id, daemon, sentAt, record.now());
        cuts.add(cut);
        record.line("%s sent to %s at %d ms: the connection ended without a complete answer", id, daemon, sentAt);
        return "cut";
    }

    /** Returns the requests that count: passed to an endpoint, and cut between SIGTERM and the end of the grace. */
    private Set<String> lost(Fleet fleet) {
        Set<String> candidates = cuts.stream()
                .filter(cut -> stoppedAt.containsKey(cut.daemon()))
                .filter(cut -> cut.endedAt() - cut.sentAt() < 1000)
                .filter(cut -> cut.endedAt() > stoppedAt.get(cut.daemon()))
                .filter(cut -> cut.endedAt() < stoppedAt.get(cut.daemon()) + GRACE_MILLIS * 5 / 6)
                .map(Cut::id)
                .collect(Collectors.toSet());
        return fleet.database().receivedLines().stream()
                .filter(line -> line.startsWith("QUERY "))
                .map(line -> line.split(" ")[1])
                .filter(candidates::contains)
                .collect(Collectors.toSet());
    }
}
