package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lavenderwick.platform.standin.StoreStandin;

/**
 * Replaces a primary as planned. Right after the platform has confirmed the promotion of a replica, all daemons are
 * killed, and that replica is lost for good. Checks the rule RECOVER after the daemons are back.
 */
final class Takeover {
    private static final int DAEMONS = 3;
    private static final int SESSIONS = 6;
    private static final long PROMOTE_MILLIS = 1000;
    private static final long CALM_MILLIS = 15_000;
    private static final long DOWN_MILLIS = 1000;
    private static final double RECOVER_MILLIS = 12_000;
    private static final long WATCHED_MILLIS = 25_000;
    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]+)\"");

    private final Record record;
    private final boolean trouble;
    private final CountDownLatch promoted = new CountDownLatch(1);
    private volatile boolean ending;
    private volatile double faultAt = Double.NaN;
    private volatile double backAt = Double.NaN;
    private long sentBefore;
    private long servedBefore;
    private long sentLate;
    private long servedLate;

    private Takeover(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Case.run(Path.of(arguments[0]), "RECOVER",
                (record, temporary) -> new Takeover(record, trouble).run(temporary)));
    }

    private boolean run(Path temporary) throws Exception {
        HttpServer cloud = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        cloud.setExecutor(Executors.newCachedThreadPool());
        List<Daemon> daemons = new ArrayList<>();
        try (StoreStandin store = StoreStandin.start();
                Group group = new Group("huvo", 3, 21, 8, 0.7, 60, store, record)) {
            cloud.createContext("/promote", exchange -> promote(exchange, group, daemons));
            cloud.start();
            store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"lepu\",\"prefix\":\"/\","
                    + "\"kind\":\"primary\",\"timeoutMs\":1000,\"goalMs\":200,\"priority\":0,\"service\":\"huvo\","
                    + "\"attempts\":2},{\"name\":\"r-2\",\"host\":\"fiti\",\"prefix\":\"/\","
                    + "\"kind\":\"read_your_writes\",\"timeoutMs\":1000,\"goalMs\":400,\"priority\":1,"
                    + "\"service\":\"huvo\",\"attempts\":2,\"maxStalenessMs\":2500}],\"services\":[{\"name\":\"huvo\","
                    + "\"healthPath\":\"/health\",\"maxConns\":21,\"proto\":\"h1\",\"tls\":false,\"syncReplicas\":0}],"
                    + "\"limits\":{\"txIdleMs\":3000}}");
            for (int number = 1; number <= DAEMONS; number++) {
                daemons.add(new Daemon("d" + number, "z" + number, store.address(), cloud.getAddress(), temporary,
                        record));
                daemons.get(number - 1).start();
            }
            for (Daemon daemon : daemons) {
                daemon.awaitReady(20_000);
            }
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < SESSIONS; number++) {
                int client = number;
                clients.add(new Thread(() -> use(daemons.get(client % DAEMONS), client)));
            }
            clients.forEach(Thread::start);
            Thread.sleep(2000);
            String successor = group.addReplica();
            record.line("%s has joined, to take the place of the primary", successor);
            Thread.sleep(CALM_MILLIS);
            group.drain("i-huvo1");
            if (!promoted.await(10, TimeUnit.SECONDS)) {
                throw new IOException("no promotion was requested");
            }
            Thread.sleep(DOWN_MILLIS);
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            backAt = record.now();
            record.line("all daemons are back");
            Thread.sleep(8000);
            group.end("i-huvo1", true);
            Thread.sleep((long) RECOVER_MILLIS - 8000 + WATCHED_MILLIS);
            ending = true;
            for (Thread client : clients) {
                client.join(10_000);
            }
            record.tell("servers that run at the end: %s", group.running());
            for (Daemon daemon : daemons) {
                List<String> log = daemon.log();
                log.stream().filter(line -> line.contains("[failover]")).skip(Math.max(0,
                                log.stream().filter(line -> line.contains("[failover]")).count() - 4))
                        .forEach(line -> record.line("%s logged: %s", daemon.name(), line));
            }
            record.tell("before the final fault %d of %d requests were served; of those sent more than %.0f s after the"
                            + " daemons were back, %d of %d", servedBefore, sentBefore, RECOVER_MILLIS / 1000,
                    servedLate, sentLate);
            if (sentBefore < 100 || 4 * servedBefore < sentBefore || sentLate < 100) {
                throw new IOException("too few requests for a verdict");
            }
            return 4 * servedLate < sentLate;
        } finally {
            cloud.stop(0);
            daemons.forEach(Daemon::close);
        }
    }

    /** Answers as the platform does; the final fault strikes right after the first confirmation. */
    private void promote(HttpExchange exchange, Group group, List<Daemon> daemons) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Matcher matcher = ID.matcher(body);
        boolean known = matcher.find();
        boolean first = promoted.getCount() > 0;
        boolean lost = first && trouble;
        boolean accepted = known && (lost || group.promote(matcher.group(1), PROMOTE_MILLIS));
        record.line("%s asks with fence %s to promote %s: %s", exchange.getRequestHeaders().getFirst("X-Holder"),
                exchange.getRequestHeaders().getFirst("X-Fence-Token"), body, accepted ? 200 : 409);
        exchange.sendResponseHeaders(accepted ? 200 : 409, -1);
        exchange.close();
        if (first && accepted) {
            faultAt = record.now();
            for (Daemon daemon : daemons) {
                daemon.close();
            }
            record.line("all daemons are killed");
            if (lost) {
                group.end(matcher.group(1), false);
            }
            promoted.countDown();
        }
    }

    private void use(Daemon daemon, int client) {
        int number = 0;
        String database = client % 2 == 0 ? "lepu" : "fiti";
        while (!ending) {
            try (Session session = new Session(daemon.front(), database)) {
                while (!ending) {
                    String id = String.format("%04x%08x", client, ++number);
                    double sentAt = record.now();
                    String text = number % 5 == 0 ? "WRITE k" + client + " v" + number : "READ k" + client;
                    record.line("c%d sends %s %s to %s", client, id, text, daemon.name());
                    Session.Answer answer = session.query(id, text);
                    record.line("c%d gets %s for %s", client, answer.result(), id);
                    count(sentAt, answer.succeeded());
                    if (!answer.isComplete()) {
                        break;
                    }
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                // The client comes back while the daemon is down.
                count(record.now(), false);
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void count(double sentAt, boolean served) {
        if (Double.isNaN(faultAt)) {
            sentBefore++;
            servedBefore += served ? 1 : 0;
        } else if (sentAt > backAt + RECOVER_MILLIS) {
            sentLate++;
            servedLate += served ? 1 : 0;
        }
    }
}
