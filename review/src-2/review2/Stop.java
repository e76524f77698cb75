package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.lavenderwick.platform.standin.StoreStandin;

/**
 * Stops one of two daemons with SIGTERM while its clients use their sessions without a pause, and checks the rule LOST
 * for the machine that is stopped.
 */
final class Stop {
    private static final int SESSIONS = 9;
    private static final double GRACE_MILLIS = 6000;
    private static final double SLACK_MILLIS = 200;
    private static final double ROUTE_TIMEOUT_MILLIS = 2000;
    /** Calm time before the disruption; the pages ask for stableWindowMs, which is 4,000. */
    private static final long CALM_MILLIS = 5000;

    /** A request that the stopped daemon did not answer completely. */
    private record Cut(String id, double sentAt, double endedAt) {}

    private final Record record;
    private final List<Cut> cuts = new CopyOnWriteArrayList<>();
    private volatile boolean ending;
    private volatile long answered;
    private volatile long refused;

    private Stop(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Case.run(Path.of(arguments[0]), "LOST",
                (record, temporary) -> new Stop(record).run(trouble, temporary)));
    }

    private boolean run(boolean trouble, Path temporary) throws Exception {
        try (StoreStandin store = StoreStandin.start();
                Group group = new Group("huvo", 3, 21, 300, 0, 300, store, record);
                Daemon stopped = new Daemon("d1", "z1", store.address(), store.address(), temporary, record);
                Daemon other = new Daemon("d2", "z2", store.address(), store.address(), temporary, record)) {
            store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"xapu\",\"prefix\":\"/\","
                    + "\"kind\":\"bounded\",\"timeoutMs\":2000,\"goalMs\":1200,\"priority\":2,\"service\":\"huvo\","
                    + "\"attempts\":2,\"maxStalenessMs\":1500}],\"services\":[{\"name\":\"huvo\","
                    + "\"healthPath\":\"/health\",\"maxConns\":21,\"proto\":\"h1\",\"tls\":false,\"syncReplicas\":0}],"
                    + "\"limits\":{\"txIdleMs\":3000}}");
            stopped.start();
            other.start();
            stopped.awaitReady(20_000);
            other.awaitReady(20_000);
            Thread.sleep(CALM_MILLIS);
            List<Thread> clients = new ArrayList<>();
            for (int number = 1; number <= SESSIONS; number++) {
                int client = number;
                clients.add(new Thread(() -> use(stopped, other, client)));
            }
            clients.forEach(Thread::start);
            Thread.sleep(CALM_MILLIS);
            double stoppedAt = record.now();
            if (trouble) {
                stopped.terminate();
                if (!stopped.process().waitFor((long) GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                    stopped.process().destroyForcibly();
                }
                record.line("d1 ended %.0f ms after SIGTERM", record.now() - stoppedAt);
            } else {
                Thread.sleep((long) GRACE_MILLIS);
            }
            Thread.sleep(1000);
            ending = true;
            for (Thread client : clients) {
                client.join(10_000);
            }
            record.tell("%d requests answered, %d refused, %d not answered", answered, refused, cuts.size());
            if (answered < 100) {
                throw new IOException("too few requests were served for a verdict");
            }
            return judge(group, stoppedAt) > 0;
        }
    }

    /** Sends one request after the other, each when the one before is answered; opens a new session after a close. */
    private void use(Daemon first, Daemon second, int client) {
        Daemon target = first;
        int number = 0;
        while (!ending) {
            try (Session session = new Session(target.front(), "xapu")) {
                record.line("c%d opened a session at %s", client, target.name());
                while (!ending) {
                    String id = String.format("%04x%08x", client, ++number);
                    double sentAt = record.now();
                    record.line("c%d sends %s to %s", client, id, target.name());
                    Session.Answer answer = session.query(id, "READ k" + number % 50);
                    if (!answer.isComplete()) {
                        record.line("c%d gets no complete answer to %s from %s", client, id, target.name());
                        if (target == first) {
                            cuts.add(new Cut(id, sentAt, record.now()));
                        }
                        break;
                    }
                    record.line("c%d gets %s for %s", client, answer.result(), id);
                    count(answer.succeeded());
                }
            } catch (IOException e) {
                record.line("c%d: %s", client, e.getMessage());
            }
            target = second;
        }
    }

    private synchronized void count(boolean succeeded) {
        answered += succeeded ? 1 : 0;
        refused += succeeded ? 0 : 1;
    }

    /** Returns the number of requests that count by the rule. */
    private int judge(Group group, double stoppedAt) {
        int lost = 0;
        for (Cut cut : cuts) {
            Group.Run run = group.run(cut.id());
            double sentAfter = cut.sentAt() - stoppedAt;
            double held = cut.endedAt() - cut.sentAt();
            String why;
            if (sentAfter > GRACE_MILLIS + 1000) {
                why = "not counted: sent after the planned work";
            } else if (run == null && held <= SLACK_MILLIS) {
                why = "not counted: not passed on, and ended within lossSlackMs";
            } else if (held >= ROUTE_TIMEOUT_MILLIS) {
                why = "not counted: the route's timeout was reached";
            } else if (sentAfter <= 3000 && run != null && !(run.answeredAt < stoppedAt + GRACE_MILLIS * 5 / 6)) {
                why = "not counted: sent early, and the server was at work in the last sixth of graceS";
            } else {
                why = "LOST";
                lost++;
            }
            record.tell("%s sent %.0f ms after SIGTERM, cut after %.0f ms, %s: %s", cut.id(), sentAfter, held,
                    run == null ? "not passed on" : "run by " + run.server, why);
        }
        return lost;
    }
}
