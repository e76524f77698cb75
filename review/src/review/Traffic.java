package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that each send one statement after the other, at several daemons in turn. */
final class Traffic {

    /** A request of a client: when it was sent and how it ended. */
    record Request(String text, long sentAt, long endedAt, boolean served, String end) {}

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final Lab lab;
    private final List<Lab.Daemon> daemons;
    private final ConcurrentLinkedQueue<Request> requests = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Traffic(Lab lab, List<Lab.Daemon> daemons) {
        this.lab = lab;
        this.daemons = daemons;
    }

    /** Starts a client that repeats a statement; {@code #} in it stands for a new number. */
    void start(int firstDaemon, String database, String text, long pauseMs, int deadlineMs) {
        Thread thread = new Thread(() -> run(firstDaemon, database, text, pauseMs, deadlineMs), "client");
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    private void run(int firstDaemon, String database, String text, long pauseMs, int deadlineMs) {
        Client session = null;
        int next = firstDaemon;
        try {
            while (!stopped) {
                Lab.Daemon daemon = daemons.get(next % daemons.size());
                String number = Integer.toString(NUMBERS.incrementAndGet());
                long sentAt = lab.now();
                Client.Answer answer;
                try {
                    session = session == null ? new Client(daemon.caller, database) : session;
                    answer = session.query("q" + number, text.replace("#", number), deadlineMs);
                } catch (IOException e) {
                    answer = new Client.Answer(List.of(), "no session");
                }
                requests.add(new Request(text.replace("#", number), sentAt, lab.now(), answer.succeeded(), answer.brief()));
                lab.log("q%s of %s at %s, sent at %.3f: %s", number, database, daemon.name, sentAt / 1000.0, answer.brief());
                if (!answer.complete()) {
                    next++;
                    if (session != null) {
                        session.close();
                    }
                    session = null;
                }
                Lab.sleep(answer.succeeded() ? pauseMs : Math.max(pauseMs, 200));
            }
        } catch (InterruptedException | IOException e) {
            lab.log("a client stops: %s", e);
        }
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(8000);
        }
    }

    /** Returns the values of the acknowledged writes that were sent after a time. */
    List<String> acknowledgedValues(long after) {
        List<String> values = new ArrayList<>();
        for (Request request : requests) {
            if (request.served() && request.sentAt() > after && request.text().startsWith("WRITE ")) {
                values.add(request.text().split(" ", 3)[2]);
            }
        }
        return values;
    }

    /** Returns how many requests that were sent in a span were served, and how many there were. */
    int[] served(long from, long to) {
        int[] counts = new int[2];
        for (Request request : requests) {
            if (request.sentAt() >= from && request.sentAt() < to) {
                counts[0] += request.served() ? 1 : 0;
                counts[1]++;
            }
        }
        return counts;
    }
}
