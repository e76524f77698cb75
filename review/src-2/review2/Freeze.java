package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lavenderwick.platform.standin.StoreStandin;

/**
 * Lets a primary crash, and freezes the daemon that replaces it as the answer to the renewal of its lock is on its way.
 * Checks that no holder sends a lower fence number to the platform than it has seen.
 */
final class Freeze {
    private static final int DAEMONS = 3;
    private static final long PROMOTE_MILLIS = 1000;
    private static final long CALM_MILLIS = 14_000;
    private static final long FREEZE_MILLIS = 4000;
    /** How long a status request waits for a slot: two reads of the largest work of the site, 170 ms, are ahead of it. */
    private static final long STATUS_MILLIS = 340;
    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]+)\"");
    private static final Pattern LOCK = Pattern.compile("\"key\":\"lavenderwick/failover/huvo\"[^}]*\"lease\":(\\d+)");
    private static final Pattern TERMS = Pattern.compile("\"key\":\"lavenderwick/terms\",\"value\":\"([^\"]+)\"");

    private final Record record;
    private final boolean trouble;
    private final Map<String, String> lockLeases = new HashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private Group group;
    private String promoting;
    private boolean frozen;
    private long highestFence;
    private int lowerFences;
    private int promotions;
    private volatile boolean ending;

    private Freeze(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Case.run(Path.of(arguments[0]), "ONE",
                (record, temporary) -> new Freeze(record, trouble).run(temporary)));
    }

    private boolean run(Path temporary) throws Exception {
        HttpServer cloud = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        cloud.setExecutor(Executors.newCachedThreadPool());
        List<StoreProxy> proxies = new ArrayList<>();
        try (StoreStandin store = StoreStandin.start();
                Group servers = new Group("huvo", 2, 30, 4.5, 0.7, 34, store, record)) {
            group = servers;
            cloud.createContext("/promote", this::promote);
            cloud.start();
            store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"lepu\",\"prefix\":\"/\","
                    + "\"kind\":\"primary\",\"timeoutMs\":800,\"goalMs\":100,\"priority\":0,\"service\":\"huvo\","
                    + "\"attempts\":2}],\"services\":[{\"name\":\"huvo\",\"healthPath\":\"/health\",\"maxConns\":30,"
                    + "\"proto\":\"h1\",\"tls\":false,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}");
            for (int number = 1; number <= DAEMONS; number++) {
                String name = "d" + number;
                StoreProxy proxy = new StoreProxy(
                        store.address(), (path, body, status) -> onAnswer(name, path, body, status));
                proxies.add(proxy);
                daemons.add(new Daemon(name, "z" + number, proxy.address(), cloud.getAddress(), temporary, record));
                daemons.get(number - 1).start();
            }
            for (Daemon daemon : daemons) {
                daemon.awaitReady(20_000);
            }
            for (int client = 0; client < DAEMONS; client++) {
                Daemon daemon = daemons.get(client);
                int number = client;
                Thread thread = new Thread(() -> use(daemon, number));
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(CALM_MILLIS);
            group.end("i-huvo1", false);
            Thread.sleep(14_000);
            ending = true;
            synchronized (this) {
                record.tell("%d promotion requests, %d with a lower fence number than the platform had seen", promotions,
                        lowerFences);
                if (promotions == 0 || (trouble && !frozen)) {
                    throw new IOException("the moment for the disruption did not come");
                }
                return lowerFences > 0;
            }
        } finally {
            cloud.stop(0);
            daemons.forEach(Daemon::close);
            for (StoreProxy proxy : proxies) {
                proxy.close();
            }
        }
    }

    /** Follows the failover as the store sees it, and freezes its daemon at its renewal before it asks for a promotion. */
    private void onAnswer(String name, String path, String body, int status) {
        boolean strike = false;
        synchronized (this) {
            if (status != 200) {
                return;
            }
            Matcher lock = LOCK.matcher(body);
            Matcher terms = TERMS.matcher(body);
            if (lock.find()) {
                lockLeases.put(name, lock.group(1));
                record.line("%s has the failover lock under lease %s", name, lock.group(1));
            } else if (terms.find()) {
                String text = new String(Base64.getDecoder().decode(terms.group(1)), StandardCharsets.UTF_8);
                record.line("%s writes the term record: %s", name, text.replace('\n', '|'));
                if (text.contains(" CLOSING ") && !text.contains("#members") || text.matches("(?s).*\nhuvo \\S+ \\d+ CLOSING.*")) {
                    if (!frozen) {
                        group.statusWaits(STATUS_MILLIS);
                    }
                } else if (text.matches("(?s).*\nhuvo \\S+ \\d+ PROMOTING.*")) {
                    group.statusWaits(0);
                    promoting = promoting == null ? name : promoting;
                }
            } else if (path.endsWith("/kv-keep/" + lockLeases.get(name))) {
                record.line("%s has renewed the failover lock", name);
                strike = trouble && !frozen && name.equals(promoting) && promotions == 0;
                frozen |= strike;
            }
        }
        if (strike) {
            freeze(name);
        }
    }

    private void freeze(String name) {
        Daemon daemon = daemons.stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow();
        signal(daemon, "-STOP");
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(FREEZE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            signal(daemon, "-CONT");
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void signal(Daemon daemon, String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(daemon.process().pid())).start().waitFor();
            record.line("%s gets %s", daemon.name(), signal);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void promote(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
        String holder = exchange.getRequestHeaders().getFirst("X-Holder");
        Matcher matcher = ID.matcher(body);
        boolean accepted = matcher.find() && group.promote(matcher.group(1), PROMOTE_MILLIS);
        synchronized (this) {
            promotions++;
            boolean lower = fence < highestFence;
            lowerFences += lower ? 1 : 0;
            record.tell("%s asks with fence %d to promote %s: %d%s", holder, fence, body, accepted ? 200 : 409,
                    lower ? ", although the platform has seen " + highestFence : "");
            highestFence = Math.max(highestFence, fence);
        }
        exchange.sendResponseHeaders(accepted ? 200 : 409, -1);
        exchange.close();
    }

    private void use(Daemon daemon, int client) {
        int number = 0;
        while (!ending) {
            try (Session session = new Session(daemon.front(), "lepu")) {
                while (!ending) {
                    String id = String.format("%04x%08x", client, ++number);
                    String text = number % 5 == 0 ? "WRITE k" + client + " v" + number : "READ k" + client;
                    record.line("c%d sends %s %s to %s", client, id, text, daemon.name());
                    Session.Answer answer = session.query(id, text);
                    record.line("c%d gets %s for %s", client, answer.result(), id);
                    if (!answer.isComplete()) {
                        break;
                    }
                    Thread.sleep(100);
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
