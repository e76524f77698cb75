package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.lavenderwick.platform.standin.StoreStandin;

/**
 * A database service of one primary and two replicas that receive each commit at once. It speaks the wire of the users'
 * pages. Each read, write and commit occupies one of the slots for the work time. Servers keep their logs as long as they
 * run.
 */
final class Group implements AutoCloseable {
    /** What became of a client statement at a server; times in milliseconds of the record, NaN if it did not come to that. */
    static final class Run {
        final String id;
        final String server;
        final double startedAt;
        volatile double answeredAt = Double.NaN;

        Run(String id, String server, double startedAt) {
            this.id = id;
            this.server = server;
            this.startedAt = startedAt;
        }
    }

    private static final long BEAT_MILLIS = 1200;

    private final String service;
    private final int slots;
    private final int maxConnections;
    private final double workMillis;
    private final double workSpread;
    private final double workMaxMillis;
    private final Record record;
    private final StoreStandin store;
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final AtomicLong digests = new AtomicLong();
    private volatile long statusMillis;
    private volatile IntFunction<String> clients = port -> "";
    private volatile String cutServer = "";
    private volatile String cutClient = "";
    private final List<Commit> commits = new CopyOnWriteArrayList<>();
    private final List<Lead> leads = new CopyOnWriteArrayList<>();

    /** A commit with a client's statement that asked for it. */
    record Commit(String id, String server, long term, double at) {}

    /** The moment at which a promotion took effect. */
    record Lead(String server, long term, double at) {}

    /** Starts the servers and registers them. The work of a statement is drawn from a log-normal distribution. */
    Group(String service, int slots, int maxConnections, double workMillis, double workSpread, double workMaxMillis,
            StoreStandin store, Record record) throws IOException {
        this.service = service;
        this.slots = slots;
        this.maxConnections = maxConnections;
        this.workMillis = workMillis;
        this.workSpread = workSpread;
        this.workMaxMillis = workMaxMillis;
        this.store = store;
        this.record = record;
        for (int index = 1; index <= 3; index++) {
            add(index == 1, "z" + index);
        }
    }

    private Server add(boolean primary, String zone) throws IOException {
        Server server = new Server("i-" + service + (servers.size() + 1), primary, zone);
        synchronized (this) {
            leader().ifPresent(server::follow);
            servers.add(server);
        }
        server.register();
        return server;
    }

    /** Starts a further replica, which has the log of the primary, and returns its id. */
    String addReplica() throws IOException {
        return add(false, "z1").id;
    }

    private synchronized Server server(String id) {
        return servers.stream().filter(server -> server.id.equals(id)).findFirst().orElse(null);
    }

    /** Returns the primary of the newest term that runs. */
    private synchronized Optional<Server> leader() {
        return servers.stream()
                .filter(server -> server.primary && !server.dead)
                .max(Comparator.comparingLong(server -> server.term));
    }

    /** Returns the ids of the servers that run. */
    synchronized List<String> running() {
        return servers.stream().filter(server -> !server.dead).map(server -> server.id).toList();
    }

    /** Returns the commits of all servers. */
    List<Commit> commits() {
        return commits;
    }

    /** Returns the promotions that have taken effect. */
    List<Lead> leads() {
        return leads;
    }

    /** Sets how to tell whose connection it is from its remote port. */
    void identifyClientsWith(IntFunction<String> names) {
        clients = names;
    }

    /** Partitions a server from the other servers and from one client, whose connections are reset. */
    void cut(String id, String client) {
        cutClient = client;
        cutServer = id;
        record.line("%s is partitioned from the other servers and from %s", id, client);
        server(id).reset(client);
    }

    /** Ends the partition; a former primary finds the new one within a second. */
    void heal() {
        String id = cutServer;
        cutServer = "";
        record.line("the partition of %s has ended", id);
        sleep(1000);
        Server healed = server(id);
        synchronized (this) {
            leader().filter(leader -> leader.term > healed.term).ifPresent(leader -> {
                healed.primary = false;
                healed.follow(leader);
            });
        }
        healed.register();
    }

    private boolean connects(Server one, Server other) {
        return !one.id.equals(cutServer) && !other.id.equals(cutServer);
    }

    /** Sets how long a status request waits until a slot is free. */
    void statusWaits(long millis) {
        statusMillis = millis;
    }

    /** Lets a server announce that it is going to leave. */
    void drain(String id) {
        Server server = server(id);
        server.draining = true;
        server.register();
        record.line("%s is draining", id);
    }

    /** Ends a server for good. Its entry leaves the store at once or, after a crash, after three check-in intervals. */
    void end(String id, boolean announced) {
        Server server = server(id);
        synchronized (this) {
            server.dead = true;
        }
        server.close();
        record.line("%s %s", id, announced ? "ends as announced" : "is lost for good");
        start(() -> {
            sleep(announced ? 0 : 3 * BEAT_MILLIS);
            store.remove("servers/" + id);
        });
    }

    /** Returns whether a server runs, as the platform answers a promotion; it leads the next term a while later. */
    boolean promote(String id, long delayMillis) {
        Server server = server(id);
        if (server == null || server.dead) {
            return false;
        }
        start(() -> {
            sleep(delayMillis);
            lead(server);
        });
        return true;
    }

    private void lead(Server server) {
        synchronized (this) {
            if (server.dead || server.primary) {
                return;
            }
            server.term = 1 + servers.stream().mapToLong(each -> each.term).max().orElse(0);
            server.primary = true;
            server.held = 0;
            for (Server each : servers) {
                if (!each.primary && !each.dead && connects(each, server)) {
                    each.follow(server);
                }
            }
            leads.add(new Lead(server.id, server.term, record.now()));
            record.line("%s leads term %d", server.id, server.term);
        }
        server.register();
        sleep(1000);
        List<Server> former = new ArrayList<>();
        synchronized (this) {
            servers.stream()
                    .filter(each -> each != server && each.primary && !each.dead && each.term < server.term
                            && connects(each, server))
                    .forEach(former::add);
            former.forEach(each -> {
                each.primary = false;
                each.follow(server);
            });
        }
        former.forEach(Server::register);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the run of a client statement; null if no server received it. */
    Run run(String id) {
        return runs.get(id);
    }

    private long drawWorkMillis() {
        double normal = ThreadLocalRandom.current().nextGaussian();
        double drawn = workMillis * Math.exp(workSpread * normal - workSpread * workSpread / 2);
        return Math.round(Math.min(workMaxMillis, drawn));
    }

    @Override
    public void close() {
        servers.forEach(Server::close);
    }

    private final class Server {
        private final String id;
        private final String zone;
        private final Map<String, String> items = new HashMap<>();
        private boolean primary;
        private volatile boolean draining;
        private volatile boolean dead;
        private long term = 1;
        private long held;
        private long logTerm = 1;
        private long number;
        private final ServerSocket listening;
        private final Semaphore free = new Semaphore(slots, true);
        private final Map<Socket, String> sockets = new ConcurrentHashMap<>();
        private final long born = System.currentTimeMillis();
        private final AtomicLong registrations = new AtomicLong();

        Server(String id, boolean primary, String zone) throws IOException {
            this.id = id;
            this.primary = primary;
            this.zone = zone;
            listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            start(this::accept);
        }

        /** Takes over the log of a primary. */
        void follow(Server leader) {
            term = leader.term;
            held = 0;
            logTerm = leader.logTerm;
            number = leader.number;
            items.clear();
            items.putAll(leader.items);
        }

        void commit(List<String[]> writes) {
            if (writes.isEmpty()) {
                return;
            }
            logTerm = term;
            number++;
            writes.forEach(write -> items.put(write[0], write[1]));
            servers.stream()
                    .filter(each -> each != this && !each.dead && !each.primary && each.held <= term && each.term <= term
                            && connects(each, this))
                    .forEach(each -> each.follow(this));
        }

        void register() {
            if (dead) {
                return;
            }
            store.put("servers/" + id, String.format("{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                            + "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,\"dbRole\":\"%s\","
                            + "\"seq\":%d,\"born\":%d}",
                    service, listening.getLocalPort(), zone, slots, draining ? "draining" : "ready",
                    primary ? "primary" : "replica", registrations.incrementAndGet(), born));
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    String client = clients.apply(socket.getPort());
                    if (id.equals(cutServer) && client.equals(cutClient)) {
                        socket.close();
                        continue;
                    }
                    sockets.put(socket, client);
                    start(() -> serve(socket));
                }
            } catch (IOException e) {
                // The server was closed.
                return;
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                new Connection(this, socket, in).run();
            } catch (IOException | InterruptedException e) {
                // The other side has gone, which rolls back.
                return;
            } finally {
                sockets.remove(socket);
            }
        }

        void reset(String client) {
            sockets.forEach((socket, name) -> {
                try {
                    if (name.equals(client)) {
                        socket.close();
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }

        void close() {
            try {
                listening.close();
                for (Socket socket : sockets.keySet()) {
                    socket.close();
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private final class Connection {
        private final Server server;
        private final Socket socket;
        private final BufferedReader in;
        private final Map<String, String> prepared = new HashMap<>();
        private final List<String[]> writes = new ArrayList<>();
        private char state = 'I';
        private boolean readOnly;

        Connection(Server server, Socket socket, BufferedReader in) {
            this.server = server;
            this.socket = socket;
            this.in = in;
        }

        private void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private void complete(String rows, String digest) throws IOException {
            send(rows + "COMPLETE " + digest + "\r\n" + ready());
        }

        private void error(String code) throws IOException {
            state = state == 'I' ? 'I' : 'E';
            send("ERROR " + code + " " + server.id + "\r\n" + ready());
        }

        private String ready() {
            synchronized (Group.this) {
                return "READY " + state + " " + server.logTerm + "." + server.number + "\r\n";
            }
        }

        void run() throws IOException, InterruptedException {
            String[] connect = String.valueOf(in.readLine()).split(" ");
            if (connect.length < 3 || !connect[1].equals(service)
                    || (connect.length > 3 && !connect[3].equals(server.id))) {
                send("ERROR WRONGNODE " + server.id + "\r\n");
                return;
            } else if (server.sockets.size() > maxConnections) {
                send("ERROR MAXCONN " + server.id + "\r\n");
                return;
            }
            work(12);
            send(ready());
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] fields = line.split(" ", 3);
                if (!fields[0].equals("QUERY") || fields.length < 3) {
                    return;
                }
                handle(fields[1], fields[2]);
            }
        }

        private void work(long millis) throws InterruptedException {
            server.free.acquire();
            try {
                Thread.sleep(millis);
            } finally {
                server.free.release();
            }
        }

        private void handle(String id, String query) throws IOException, InterruptedException {
            String text = query;
            if (text.startsWith("AFTERLSN ")) {
                String[] words = text.split(" ", 3);
                synchronized (Group.this) {
                    String[] wanted = words[1].split("\\.");
                    long wantedTerm = Long.parseLong(wanted[0]);
                    if (wantedTerm > server.logTerm
                            || (wantedTerm == server.logTerm && Long.parseLong(wanted[1]) > server.number)) {
                        error("LAGGING");
                        return;
                    }
                }
                text = words[2];
            }
            String[] words = text.split(" ", 4);
            switch (words[0]) {
                case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> control(words);
                case "RESET", "SET", "PARSE", "CLOSE" -> setUp(words);
                case "BEGIN" -> begin(words.length > 1);
                case "ROLLBACK" -> {
                    writes.clear();
                    state = 'I';
                    complete("", "-");
                }
                default -> execute(id, text);
            }
        }

        private void control(String[] words) throws IOException, InterruptedException {
            if (words[0].equals("STATUS")) {
                Thread.sleep(statusMillis);
            }
            String row;
            synchronized (Group.this) {
                if (words[0].equals("PAUSE") && !server.primary && Long.parseLong(words[1]) > server.term) {
                    server.held = Math.max(server.held, Long.parseLong(words[1]));
                } else if (words[0].equals("RESUME")) {
                    server.held = 0;
                } else if (words[0].equals("STEPDOWN") && Long.parseLong(words[1]) > server.term) {
                    server.primary = false;
                }
                row = "ROW " + (server.primary ? "primary " : "replica ") + server.term + " " + server.logTerm + "."
                        + server.number + " " + server.held + " 0 0 " + server.sockets.size() + "\r\n";
            }
            if (!words[0].equals("STATUS")) {
                record.line("%s: %s, then %s", server.id, String.join(" ", words), row.strip());
                server.register();
            }
            complete(row, "-");
        }

        private void setUp(String[] words) throws IOException {
            if (words[0].equals("PARSE")) {
                prepared.put(words[1], words[2]);
            } else if (words[0].equals("RESET")) {
                prepared.clear();
            }
            complete("", "-");
        }

        private void begin(boolean read) throws IOException {
            if (!read && !server.primary) {
                error("READONLY");
                return;
            }
            readOnly = read;
            state = 'T';
            complete("", "-");
        }

        private void execute(String id, String text) throws IOException, InterruptedException {
            String[] words = text.split(" ", 3);
            String kind = words[0];
            if (kind.equals("EXECUTE")) {
                if (!prepared.containsKey(words[1])) {
                    error("NOSTMT");
                    return;
                }
                kind = prepared.get(words[1]);
                words = (kind + " " + words[2]).split(" ", 3);
            }
            if (state == 'E') {
                error("MALFORMED");
                return;
            }
            boolean writing = kind.equals("WRITE") || (kind.equals("COMMIT") && !writes.isEmpty());
            if (writing && (!server.primary || (state == 'T' && readOnly))) {
                error("READONLY");
                return;
            }
            Run run = new Run(id, server.id, record.now());
            runs.put(id, run);
            record.line("%s runs %s", server.id, id);
            work(drawWorkMillis());
            String rows = "";
            synchronized (Group.this) {
                if (kind.equals("READ")) {
                    rows = "ROW " + server.items.getOrDefault(words[1], "none") + "\r\n";
                } else if (kind.equals("WRITE")) {
                    writes.add(new String[] {words[1], words[2]});
                }
                if (kind.equals("COMMIT") || state == 'I') {
                    state = 'I';
                    if (!writes.isEmpty()) {
                        if (!server.primary) {
                            writes.clear();
                            error("READONLY");
                            return;
                        }
                        commits.add(new Commit(id, server.id, server.term, record.now()));
                        record.line("%s commits %s in term %d", server.id, id, server.term);
                    }
                    server.commit(writes);
                    writes.clear();
                }
            }
            run.answeredAt = record.now();
            record.line("%s answers %s", server.id, id);
            complete(rows, "d." + digests.incrementAndGet());
        }
    }
}
