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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lavenderwick.platform.standin.StoreStandin;

/**
 * Replaces a primary as planned, and partitions the new one, just before it leads, from its replicas and from the daemon
 * that asked for its promotion. Checks that no write is acknowledged that an old primary committed after a promotion.
 */
final class Partition {
    private static final int DAEMONS = 3;
    private static final int SESSIONS = 12;
    private static final long PROMOTE_MILLIS = 1000;
    private static final long CALM_MILLIS = 15_000;
    private static final long CUT_AFTER_MILLIS = 900;
    private static final long CUT_MILLIS = 5000;
    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]+)\"");

    private final Record record;
    private final boolean trouble;
    private final List<Daemon> daemons = new ArrayList<>();
    private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    private final Set<String> sentByOthers = ConcurrentHashMap.newKeySet();
    private volatile String holder = "";
    private volatile boolean ending;
    private Group group;
    private int promotions;

    private Partition(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Case.run(Path.of(arguments[0]), "ONE",
                (record, temporary) -> new Partition(record, trouble).run(temporary)));
    }

    private boolean run(Path temporary) throws Exception {
        HttpServer cloud = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        cloud.setExecutor(Executors.newCachedThreadPool());
        try (StoreStandin store = StoreStandin.start();
                Group servers = new Group("huvo", 3, 21, 8, 0.7, 60, store, record)) {
            group = servers;
            group.identifyClientsWith(new Owners(daemons)::find);
            cloud.createContext("/promote", this::promote);
            cloud.start();
            store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"lepu\",\"prefix\":\"/\","
                    + "\"kind\":\"primary\",\"timeoutMs\":1000,\"goalMs\":200,\"priority\":0,\"service\":\"huvo\","
                    + "\"attempts\":2}],\"services\":[{\"name\":\"huvo\",\"healthPath\":\"/health\",\"maxConns\":21,"
                    + "\"proto\":\"h1\",\"tls\":false,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}");
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
            Thread.sleep(CALM_MILLIS);
            group.drain("i-huvo1");
            Thread.sleep(16_000);
            ending = true;
            for (Thread client : clients) {
                client.join(10_000);
            }
            if (promotions == 0) {
                throw new IOException("no promotion was requested");
            }
            return judge();
        } finally {
            cloud.stop(0);
            for (Daemon daemon : daemons) {
                daemon.log().stream().filter(line -> line.contains("[failover]") || line.contains("[evidence]"))
                        .forEach(line -> record.line("%s logged: %s", daemon.name(), line));
                daemon.close();
            }
        }
    }

    /** Counts acknowledged commits of a primary of a term before one that had begun, sent by a daemon in touch. */
    private boolean judge() {
        int late = 0;
        for (Group.Commit commit : group.commits()) {
            boolean replaced = group.leads().stream()
                    .anyMatch(lead -> lead.term() > commit.term() && lead.at() < commit.at());
            if (replaced && acknowledged.contains(commit.id())) {
                boolean counts = sentByOthers.contains(commit.id());
                late += counts ? 1 : 0;
                record.tell("%s committed %s in term %d at %.0f ms, acknowledged, %s", commit.server(), commit.id(),
                        commit.term(), commit.at(), counts ? "counts" : "not counted: sent on a disrupted link");
            }
        }
        group.leads().forEach(lead -> record.tell("%s leads term %d since %.0f ms", lead.server(), lead.term(), lead.at()));
        record.tell("%d commits acknowledged, %d of an old primary after a promotion", acknowledged.size(), late);
        return late > 0;
    }

    private void promote(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Matcher matcher = ID.matcher(body);
        boolean accepted = matcher.find() && group.promote(matcher.group(1), PROMOTE_MILLIS);
        String from = exchange.getRequestHeaders().getFirst("X-Holder");
        record.tell("%s asks with fence %s to promote %s: %d", from,
                exchange.getRequestHeaders().getFirst("X-Fence-Token"), body, accepted ? 200 : 409);
        boolean first;
        synchronized (this) {
            first = promotions++ == 0;
        }
        if (first && trouble) {
            holder = from;
            Thread thread = new Thread(() -> cut(matcher.group(1), from));
            thread.setDaemon(true);
            thread.start();
        }
        exchange.sendResponseHeaders(accepted ? 200 : 409, -1);
        exchange.close();
    }

    private void cut(String server, String daemon) {
        try {
            Thread.sleep(CUT_AFTER_MILLIS);
            group.cut(server, daemon);
            Thread.sleep(CUT_MILLIS);
            group.heal();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void use(Daemon daemon, int client) {
        int number = 0;
        while (!ending) {
            try (Session session = new Session(daemon.front(), "lepu")) {
                while (!ending) {
                    String id = String.format("%04x%08x", client, ++number);
                    if (!daemon.name().equals(holder)) {
                        sentByOthers.add(id);
                    }
                    record.line("c%d sends %s to %s", client, id, daemon.name());
                    Session.Answer answer = session.query(id, "WRITE k" + client + " v" + number);
                    record.line("c%d gets %s for %s", client, answer.result(), id);
                    if (answer.succeeded()) {
                        acknowledged.add(id);
                    }
                    if (!answer.isComplete()) {
                        break;
                    }
                    Thread.sleep(30);
                }
            } catch (IOException e) {
                record.line("c%d: %s", client, e.getMessage());
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
}
