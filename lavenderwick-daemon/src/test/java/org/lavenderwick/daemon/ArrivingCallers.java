package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.SessionClient;

/**
 * Callers that arrive at random times, each of which opens a session for a single operation. What the endpoints have
 * received decides whether a request was passed on.
 */
final class ArrivingCallers implements Runnable {

    /** Longest pause between the opening of a session and its first request for which the session is kept open. */
    private static final Duration KEPT_UNUSED = Duration.ofMillis(300);

    private final Supplier<InetSocketAddress> daemons;
    private final Random random;
    private final double arrivalsPerSecond;
    private final int maxPauseMillis;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<String> cutRequests = ConcurrentHashMap.newKeySet();
    private final Set<String> cutFirstRequests = ConcurrentHashMap.newKeySet();
    private final Set<String> rejectedValues = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private volatile boolean stopped;

    /**
     * Creates callers that arrive once {@link #run} is called.
     *
     * @param daemons returns the address of the daemon that the platform chooses for a new connection
     * @param maxPauseMillis longest pause between the opening of a session and its first request
     */
    ArrivingCallers(Supplier<InetSocketAddress> daemons, Random random, double arrivalsPerSecond, int maxPauseMillis) {
        this.daemons = daemons;
        this.random = random;
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.maxPauseMillis = maxPauseMillis;
    }

    @Override
    public void run() {
        for (int number = 1; !stopped; number++) {
            String id = "q" + number;
            InetSocketAddress daemon = daemons.get();
            List<String> operation = drawOperation(id);
            int pauseMillis = random.nextInt(maxPauseMillis + 1);
            threads.execute(() -> count(operate(daemon, id, pauseMillis, operation)));
            try {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) / arrivalsPerSecond * 1000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private List<String> drawOperation(String id) {
        String write = "WRITE item-" + id + " " + id;
        return switch (random.nextInt(4)) {
            case 0 -> List.of("READ item-" + id);
            case 1 -> List.of("BEGIN", write, "COMMIT");
            default -> List.of(write);
        };
    }

    private synchronized void count(String outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    /** Opens a session, sends one operation and returns a word for its outcome. */
    private String operate(InetSocketAddress daemon, String id, int pauseMillis, List<String> operation) {
        String requestId = "";
        boolean isPrompt = false;
        try (SessionClient client = SessionClient.connect(daemon)) {
            client.send("CONNECT " + SessionFleet.DATABASE + " " + id);
            String opened = client.answer().get(0);
            if (!opened.startsWith("READY ")) {
                return opened.equals("closed") ? "closed before it opened" : "rejected";
            }
            long openedAtNanos = System.nanoTime();
            Thread.sleep(pauseMillis);
            isPrompt = System.nanoTime() - openedAtNanos < KEPT_UNUSED.toNanos();
            for (int step = 0; step < operation.size(); step++) {
                requestId = id + "." + step;
                List<String> answer = client.query(requestId, operation.get(step));
                String result = answer.get(0);
                if (!answer.get(answer.size() - 1).startsWith("READY ")) {
                    return recordCut(requestId, isPrompt);
                } else if (result.startsWith("ERROR ")) {
                    recordFailure(id, result);
                    return result.split(" ")[1];
                }
            }
            client.send("QUIT");
            return "success";
        } catch (IOException e) {
            if (requestId.isEmpty()) {
                return "not accepted";
            }
            return recordCut(requestId, isPrompt);
        } catch (InterruptedException e) {
            return "interrupted";
        }
    }

    private String recordCut(String requestId, boolean isPrompt) {
        cutRequests.add(requestId);
        if (isPrompt && requestId.endsWith(".0")) {
            cutFirstRequests.add(requestId);
        }
        return "cut";
    }

    private void recordFailure(String value, String result) {
        if (result.startsWith("ERROR BUSY") || result.startsWith("ERROR ABORTED")) {
            rejectedValues.add(value);
        }
    }

    /** Lets no more callers arrive. */
    void stop() {
        stopped = true;
    }

    /** Waits for the callers that have arrived. To be called after {@link #run} has returned. */
    void awaitAnswers() throws InterruptedException {
        threads.shutdown();
        threads.awaitTermination(20, TimeUnit.SECONDS);
    }

    /** Returns how often each outcome was seen. */
    synchronized Map<String, Integer> outcomes() {
        return new TreeMap<>(outcomes);
    }

    /** Returns the first requests of sessions that were sent soon after the session had opened, and were cut. */
    Set<String> cutFirstRequests() {
        return Set.copyOf(cutFirstRequests);
    }

    /** Returns the requests that were passed to an endpoint and cut, and the values rejected as not run but committed. */
    List<String> violations(DatabaseStandin database) {
        List<String> violations = new ArrayList<>();
        database.receivedLines().stream()
                .filter(line -> line.startsWith("QUERY ") && cutRequests.contains(line.split(" ")[1]))
                .forEach(line -> violations.add("passed on, but cut: " + line));
        database.commits().stream()
                .filter(commit -> rejectedValues.contains(commit.value()))
                .forEach(commit -> violations.add("rejected, but committed: " + commit));
        return violations;
    }
}
