package org.lavenderwick.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Callers that send continuously, each on a thread of its own. */
final class Callers {
    private static final long PAUSE_MILLIS = 5;
    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final CallerClient client = new CallerClient();
    private final Supplier<List<String>> daemons;
    private final Records records;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Callers(Supplier<List<String>> daemons, Records records) {
        this.daemons = daemons;
        this.records = records;
    }

    /** Returns a caller with a new session. */
    Caller create(String rank, int deadlineMillis) {
        return new Caller("c" + NUMBERS.incrementAndGet(), rank, deadlineMillis, client, daemons, records);
    }

    /** Starts callers that pause shortly between requests. */
    synchronized void start(int count, String rank, int deadlineMillis) {
        start(count, rank, deadlineMillis, PAUSE_MILLIS);
    }

    /** Starts callers that send the next request at once. */
    synchronized void flood(int count, String rank, int deadlineMillis) {
        start(count, rank, deadlineMillis, 0);
    }

    private void start(int count, String rank, int deadlineMillis, long pauseMillis) {
        for (int i = 0; i < count; i++) {
            Caller caller = create(rank, deadlineMillis);
            Thread thread = new Thread(() -> run(caller, pauseMillis), "caller-" + threads.size());
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Lets the callers finish what they are doing. */
    synchronized void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(120));
            if (thread.isAlive()) {
                throw new IllegalStateException("a caller does not come to an end");
            }
        }
        threads.clear();
        stopped = false;
    }

    private void run(Caller caller, long pauseMillis) {
        try {
            while (!stopped) {
                caller.next();
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
