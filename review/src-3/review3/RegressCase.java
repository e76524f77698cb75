package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.OperatorStandin.Route;

/**
 * Case 14: a configuration adds one route and removes another while one of three daemons is frozen for 1.2 s. CONFIG is
 * broken if a machine that has handled a request as only the new configuration allows later takes one, sent more than
 * {@code downgradeMs} after that, which runs on the removed route. Two of the daemons own the group, so the third relays
 * its sessions to them.
 */
public final class RegressCase {

    private static final String KEPT = "orders";

    private static final String REMOVED = "legacy";

    private static final String ADDED = "fresh";

    private static final long DOWNGRADE_MILLIS = 250;

    /** Owners use all connections but three, and three each: two of the three daemons are owners. */
    private static final int CONNECTIONS = 9;

    private static final int SESSIONS_PER_DAEMON = 8;

    private static final int ROUNDS = 5;

    private static final long FREEZE_MILLIS = 1200;

    private final Record record;
    private final boolean trouble;
    private int version;

    private RegressCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case; the arguments are the file of the record and the value of TROUBLE. */
    public static void main(String[] arguments) {
        Result result = Result.FAILED;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try (Fleet fleet = new Fleet(record, 3)) {
                result = new RegressCase(record, !arguments[1].equals("0")).run(fleet);
            }
            record.line("result: %s", result);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(result.status());
    }

    private void configure(Fleet fleet, String... routes) {
        List<Route> list = new ArrayList<>();
        for (String route : routes) {
            list.add(new Route(route, "primary"));
        }
        version += 3;
        OperatorStandin.configure(fleet.store(), version, list, Fleet.SERVICE, 1000, CONNECTIONS, List.of());
        record.line("the store has confirmed version %d with the routes %s", version, List.of(routes));
    }

    private Result run(Fleet fleet) throws IOException, InterruptedException {
        configure(fleet, KEPT, REMOVED);
        fleet.start(KEPT);
        Thread.sleep(6000);
        boolean broken = false;
        for (int round = 0; round < ROUNDS; round++) {
            for (Fleet.Daemon frozen : fleet.daemons()) {
                broken = broken || play(fleet, frozen, round);
            }
        }
        return broken ? Result.BROKEN : Result.HELD;
    }

    private void signal(String name, Fleet.Daemon daemon) throws IOException, InterruptedException {
        record.line("SIG%s to %s", name, daemon);
        new ProcessBuilder("kill", "-" + name, Long.toString(daemon.process().pid())).start().waitFor();
    }

    private boolean play(Fleet fleet, Fleet.Daemon frozen, int round)
            throws IOException, InterruptedException {
        Map<Fleet.Daemon, List<Client>> sessions = new HashMap<>();
        for (Fleet.Daemon daemon : fleet.daemons()) {
            List<Client> clients = new ArrayList<>();
            for (int number = 0; number < SESSIONS_PER_DAEMON; number++) {
                Client client = new Client(daemon.callers(), 16 << 10);
                if (!client.connect(REMOVED).startsWith("READY")) {
                    record.line("a session on %s was not opened at %s", REMOVED, daemon);
                }
                clients.add(client);
            }
            sessions.put(daemon, clients);
        }
        if (trouble) {
            signal("STOP", frozen);
        }
        configure(fleet, KEPT, ADDED);
        long end = record.now() + 3000;
        ExecutorService threads = Executors.newCachedThreadPool();
        Set<String> violations = ConcurrentHashMap.newKeySet();
        for (Fleet.Daemon daemon : fleet.daemons()) {
            String prefix = "r" + round + frozen + daemon;
            threads.execute(() -> use(fleet, daemon, sessions.get(daemon), prefix, end, violations));
        }
        threads.shutdown();
        Thread.sleep(FREEZE_MILLIS);
        if (trouble) {
            signal("CONT", frozen);
        }
        threads.awaitTermination(20, TimeUnit.SECONDS);
        for (List<Client> clients : sessions.values()) {
            for (Client client : clients) {
                client.close();
            }
        }
        configure(fleet, KEPT, REMOVED);
        Thread.sleep(5000);
        return !violations.isEmpty();
    }

    /** Sends requests to one daemon on the added route until one succeeds, then one in each session on the removed one. */
    private void use(
            Fleet fleet, Fleet.Daemon daemon, List<Client> sessions, String prefix, long end, Set<String> violations) {
        long seenAt = -1;
        int number = 0;
        while (seenAt < 0 && record.now() < end) {
            try (Client client = new Client(daemon.callers(), 16 << 10)) {
                String id = prefix + "n" + ++number;
                if (client.connect(ADDED).startsWith("READY")
                        && client.query(id, "READ item").isSuccess()) {
                    seenAt = record.now();
                    record.line("%s: %s ran on the added route", daemon, id);
                }
                Thread.sleep(10);
            } catch (IOException e) {
                record.line("%s: %s", daemon, e);
            } catch (InterruptedException e) {
                return;
            }
        }
        if (seenAt < 0) {
            record.line("%s ran nothing on the added route", daemon);
            return;
        }
        ExecutorService threads = Executors.newCachedThreadPool();
        long seen = seenAt;
        for (Client client : sessions) {
            String id = prefix + "o" + ++number;
            threads.execute(() -> useRemoved(fleet, daemon, client, id, seen, violations));
        }
        threads.shutdown();
        try {
            threads.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useRemoved(
            Fleet fleet, Fleet.Daemon daemon, Client client, String id, long seenAt, Set<String> violations) {
        try {
            Thread.sleep(DOWNGRADE_MILLIS + 100);
            client.timeout(2500);
            long sentAt = record.now();
            Client.Answer answer = client.query(id, "WRITE item " + id);
            record.line(
                    "%s: %s on the removed route, sent %d ms after the added route was used, answered after %d ms: %s",
                    daemon, id, sentAt - seenAt, record.now() - sentAt, answer.result());
            if (answer.isSuccess() && sentAt - seenAt > DOWNGRADE_MILLIS && ran(fleet, id)) {
                record.line("%s: %s was committed on the removed route", daemon, id);
                violations.add(id);
            }
        } catch (IOException e) {
            record.line("%s: %s has no answer: %s", daemon, id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean ran(Fleet fleet, String id) {
        return fleet.database().runs().stream().anyMatch(run -> run.id().equals(id));
    }
}
