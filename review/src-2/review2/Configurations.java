package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lavenderwick.platform.standin.StoreStandin;

/**
 * Changes the configuration of two daemons again and again while clients send statements, and checks the rule LOST for
 * requests beside a configuration.
 */
final class Configurations {
    private static final int ROUTES = 1400;
    /** A storm of the site file huanca-lids: gap_s 0.08 for 2.0 s. */
    private static final long GAP_MILLIS = 80;
    private static final int CHANGES_PER_STORM = 25;
    private static final long PAUSE_MILLIS = 2000;
    private static final long CALM_MILLIS = 8000;
    private static final long CHANGING_MILLIS = 76_000;
    private static final int SESSIONS = 24;
    private static final double BESIDE_MILLIS = 3000 + 1000;
    private static final double SLACK_MILLIS = 200;
    private static final double ROUTE_TIMEOUT_MILLIS = 2000;

    private record Cut(String id, String daemon, double sentAt, double endedAt) {}

    private final Record record;
    private final List<Cut> cuts = new CopyOnWriteArrayList<>();
    private final List<Double> changedAt = new CopyOnWriteArrayList<>();
    private volatile boolean ending;
    private long answered;
    private long refused;

    private Configurations(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Case.run(Path.of(arguments[0]), "LOST",
                (record, temporary) -> new Configurations(record).run(trouble, temporary)));
    }

    private boolean run(boolean trouble, Path temporary) throws Exception {
        try (StoreStandin store = StoreStandin.start();
                Group group = new Group("huvo", 3, 21, 40, 0.7, 300, store, record);
                Daemon first = new Daemon("d1", "z1", store.address(), store.address(), temporary, record);
                Daemon second = new Daemon("d2", "z2", store.address(), store.address(), temporary, record)) {
            int version = 7;
            store.put("op/config", configuration(version));
            List<Daemon> daemons = List.of(first, second);
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemon daemon : daemons) {
                daemon.awaitReady(20_000);
            }
            Thread.sleep(CALM_MILLIS);
            List<Thread> clients = new ArrayList<>();
            for (int number = 1; number <= SESSIONS; number++) {
                int client = number;
                clients.add(new Thread(() -> use(daemons.get(client % 2), client)));
            }
            clients.forEach(Thread::start);
            Thread.sleep(CALM_MILLIS);
            double end = record.now() + CHANGING_MILLIS;
            boolean ended = false;
            while (record.now() < end && !ended) {
                Thread.sleep(changedAt.size() % CHANGES_PER_STORM == 0 ? PAUSE_MILLIS : GAP_MILLIS);
                if (trouble) {
                    version += 1 + version % 3;
                    store.put("op/config", configuration(version));
                    changedAt.add(record.now());
                    record.line("the operator's configuration %d is confirmed, change %d", version, changedAt.size());
                }
                for (Daemon daemon : daemons) {
                    if (!daemon.process().isAlive()) {
                        record.tell("%s ended by itself with status %d, after %d changes", daemon.name(),
                                daemon.process().exitValue(), changedAt.size());
                        ended = true;
                    }
                }
            }
            Thread.sleep(500);
            ending = true;
            for (Thread client : clients) {
                client.join(10_000);
            }
            for (Daemon daemon : daemons) {
                daemon.log().stream().filter(line -> line.contains("OutOfMemory") || line.contains("uncaught"))
                        .limit(3).forEach(line -> record.tell("%s logged: %s", daemon.name(), line));
            }
            record.tell("%d requests answered, %d refused, %d not answered, %d changes of %d bytes", answered, refused,
                    cuts.size(), changedAt.size(), configuration(version).length());
            if (answered < 100) {
                throw new IOException("too few requests were served for a verdict");
            }
            return judge(group);
        }
    }

    private static String configuration(int version) {
        StringBuilder routes = new StringBuilder(route("xapu", 0, version));
        for (int number = 1; number < ROUTES; number++) {
            routes.append(',').append(route("fiti" + number, number, version));
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"huvo\","
                + "\"healthPath\":\"/health\",\"maxConns\":21,\"proto\":\"h1\",\"tls\":false,\"syncReplicas\":0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}";
    }

    private static String route(String database, int number, int version) {
        int timeout = number == 1 + version % (ROUTES - 1) ? 1500 : 2000;
        return "{\"name\":\"r-" + number + "\",\"host\":\"" + database + "\",\"prefix\":\"/\",\"kind\":\"bounded\","
                + "\"timeoutMs\":" + timeout + ",\"goalMs\":1200,\"priority\":2,\"service\":\"huvo\",\"attempts\":2,"
                + "\"maxStalenessMs\":1500}";
    }

    private void use(Daemon daemon, int client) {
        int number = 0;
        while (!ending) {
            try (Session session = new Session(daemon.front(), "xapu")) {
                while (!ending) {
                    String id = String.format("%04x%08x", client, ++number);
                    double sentAt = record.now();
                    record.line("c%d sends %s to %s", client, id, daemon.name());
                    Session.Answer answer = session.query(id, "READ k" + number % 50);
                    if (!answer.isComplete()) {
                        record.line("c%d gets no complete answer to %s from %s", client, id, daemon.name());
                        cuts.add(new Cut(id, daemon.name(), sentAt, record.now()));
                        break;
                    }
                    record.line("c%d gets %s for %s", client, answer.result(), id);
                    count(answer.succeeded());
                    Thread.sleep(10);
                }
            } catch (IOException e) {
                record.line("c%d: %s", client, e.getMessage());
                pause(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void count(boolean succeeded) {
        answered += succeeded ? 1 : 0;
        refused += succeeded ? 0 : 1;
    }

    /** Returns whether the rule is broken: no request may be cut more often beside a configuration than otherwise. */
    private boolean judge(Group group) {
        int lost = 0;
        int elsewhere = 0;
        for (Cut cut : cuts) {
            Group.Run run = group.run(cut.id());
            double held = cut.endedAt() - cut.sentAt();
            boolean beside = changedAt.stream()
                    .anyMatch(at -> cut.endedAt() >= at && cut.sentAt() <= at + BESIDE_MILLIS);
            boolean counts = (run != null || held > SLACK_MILLIS) && held < 0.7 * ROUTE_TIMEOUT_MILLIS;
            lost += counts && beside ? 1 : 0;
            elsewhere += counts && !beside ? 1 : 0;
            record.tell("%s sent to %s, cut after %.0f ms, %s, %s a configuration: %s", cut.id(), cut.daemon(), held,
                    run == null ? "not passed on" : "run by " + run.server, beside ? "beside" : "not beside",
                    counts ? "counts" : "does not count");
        }
        return lost > 3 * elsewhere;
    }
}
