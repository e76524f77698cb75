package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of one service: a primary and its replicas with asynchronous replication, and the platform's call that
 * promotes. All state is guarded by the group.
 */
final class Group {

    /** How often a running backend checks in. */
    private static final long BEAT_MS = 1200;

    private static final int SLOTS = 3;
    private static final int QUEUE = 24;
    private static final int MAX_CONNECTIONS = 21;

    /** A committed write. */
    record Commit(long term, long number, String item, String value) {}

    /** A promotion that took effect, with the values that the log of the new primary held. */
    record Promotion(long at, String id, long term, Set<String> values) {}

    /** A call to promote. */
    record PromoteCall(long at, String holder, long fence, String id, int status) {}

    final Lab lab;
    final Store store;
    final String service;
    final int sync;
    final long promoteMs;
    final Map<String, Backend> backends = new LinkedHashMap<>();
    final List<Promotion> promotions = new ArrayList<>();
    final List<PromoteCall> calls = new ArrayList<>();
    long workMs = 8;
    private final HttpServer cloud;
    private Runnable onAcceptedPromote = () -> {};
    private long digests;

    Group(Lab lab, Store store, String service, int size, int sync, long promoteMs) throws IOException {
        this.lab = lab;
        this.store = store;
        this.service = service;
        this.sync = sync;
        this.promoteMs = promoteMs;
        cloud = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        cloud.createContext("/promote", this::promote);
        cloud.setExecutor(Executors.newCachedThreadPool(task -> daemonThread(task, "cloud")));
        cloud.start();
        for (int index = 1; index <= size; index++) {
            Backend backend = new Backend(service + "-" + index, "z" + index, index == 1);
            backends.put(backend.id, backend);
            backend.listen();
        }
        daemonThread(this::replicate, "replication").start();
        daemonThread(this::beat, "check-ins").start();
    }

    /** Starts a new replica, to which the log is transferred. */
    void add(String id, String zone) throws IOException {
        Backend backend = new Backend(id, zone, false);
        synchronized (this) {
            lab.log("%s starts as a new replica", id);
            backends.put(id, backend);
            Backend leader = leader();
            if (leader != null) {
                backend.receive(leader);
            }
        }
        backend.listen();
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    InetSocketAddress cloudAddress() {
        return cloud.getAddress();
    }

    Backend backend(String id) {
        return backends.get(id);
    }

    /** Sets what runs in the moment in which a promotion is accepted, before the answer is sent. */
    void onAcceptedPromote(Runnable action) {
        onAcceptedPromote = action;
    }

    /** Writes a configuration whose only service is this group. */
    void configure(int version, String... routes) {
        List<String> rows = new ArrayList<>();
        for (String route : routes) {
            String[] words = route.split(" ");
            rows.add("{\"name\":\"r-" + words[0] + "\",\"host\":\"" + words[0] + "\",\"prefix\":\"/\",\"service\":\"" + service
                    + "\",\"kind\":\"" + words[1] + "\",\"timeoutMs\":" + words[2] + ",\"goalMs\":400,\"attempts\":2,"
                    + "\"priority\":0,\"maxStalenessMs\":1500}");
        }
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", rows) + "],\"services\":[{\"name\":\""
                        + service + "\",\"healthPath\":\"/health\",\"maxConns\":" + MAX_CONNECTIONS
                        + ",\"syncReplicas\":" + sync + "}],\"limits\":{\"txIdleMs\":3000}}");
    }

    /** Returns the running backend that leads the latest term; null if none does. */
    synchronized Backend leader() {
        Backend leader = null;
        for (Backend backend : backends.values()) {
            if (backend.running && backend.primary && (leader == null || backend.term > leader.term)) {
                leader = backend;
            }
        }
        return leader;
    }

    private void replicate() {
        while (true) {
            synchronized (this) {
                Backend leader = leader();
                long now = lab.now();
                for (Backend backend : backends.values()) {
                    if (leader == null || backend == leader || !backend.running || backend.deaf || leader.deaf) {
                        backend.seesLeaderSince = -1;
                        continue;
                    }
                    if (backend.primary) {
                        // A former primary goes on until a second after it can reach the new one.
                        backend.seesLeaderSince = backend.seesLeaderSince < 0 ? now : backend.seesLeaderSince;
                        if (now - backend.seesLeaderSince < 1000) {
                            continue;
                        }
                        backend.primary = false;
                        backend.register();
                    }
                    if (backend.paused <= leader.term) {
                        backend.paused = 0;
                        backend.receive(leader);
                    }
                }
                notifyAll();
            }
            try {
                Thread.sleep(3);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void beat() {
        while (true) {
            synchronized (this) {
                for (Backend backend : backends.values()) {
                    if (backend.running) {
                        backend.lastBeat = lab.now();
                    } else if (backend.registered && lab.now() - backend.lastBeat >= 3 * BEAT_MS) {
                        backend.registered = false;
                        store.remove("servers/" + backend.id);
                        lab.log("store: the entry of %s expired", backend.id);
                    }
                }
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void promote(HttpExchange exchange) throws IOException {
        JsonNode body = new JsonMapper().readTree(exchange.getRequestBody().readAllBytes());
        String holder = exchange.getRequestHeaders().getFirst("X-Holder");
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
        String id = body.path("id").asText();
        int status;
        synchronized (this) {
            Backend backend = backends.get(id);
            status = backend == null || !backend.running ? 409 : 200;
            calls.add(new PromoteCall(lab.now(), holder, fence, id, status));
            lab.log("platform: promote %s by %s with fence %d is answered %d", id, holder, fence, status);
            if (status == 200 && leader() != backend) {
                daemonThread(() -> takeOver(backend), "promotion").start();
            }
        }
        if (status == 200) {
            onAcceptedPromote.run();
        }
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    private void takeOver(Backend backend) {
        try {
            Thread.sleep(promoteMs);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            if (!backend.running || leader() == backend) {
                return;
            }
            long term = 0;
            for (Backend each : backends.values()) {
                term = Math.max(term, each.term);
            }
            backend.primary = true;
            backend.term = term + 1;
            backends.values().forEach(each -> each.paused = each.running ? 0 : each.paused);
            Set<String> values = new HashSet<>();
            backend.log.forEach(commit -> values.add(commit.value()));
            promotions.add(new Promotion(lab.now(), backend.id, backend.term, values));
            lab.log("%s leads term %d from position %s", backend.id, backend.term, backend.position());
            backend.register();
        }
    }

    private synchronized String nextDigest(String id) {
        return "7." + id + "." + Long.toHexString(++digests);
    }

    /** One backend. */
    final class Backend {
        final String id;
        final String zone;
        final List<Commit> log = new ArrayList<>();
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final List<SocketChannel> fillers = new ArrayList<>();
        private ServerSocket server;
        private int port;
        boolean running;
        boolean primary;
        boolean deaf;
        boolean dark;
        boolean draining;
        long term = 1;
        long paused;
        private boolean registered;
        private long lastBeat;
        private long seesLeaderSince = -1;
        private int sequence;
        private long born;
        private int busySlots;
        private int waiting;

        private Backend(String id, String zone, boolean primary) {
            this.id = id;
            this.zone = zone;
            this.primary = primary;
        }

        private void listen() throws IOException {
            ServerSocket listening = bind(50);
            synchronized (Group.this) {
                server = listening;
                port = listening.getLocalPort();
                if (!running) {
                    born = System.currentTimeMillis();
                    sequence = 0;
                    busySlots = 0;
                    waiting = 0;
                }
                running = true;
                register();
            }
            daemonThread(() -> accept(listening), "backend " + id).start();
        }

        /** Listens at the port of the backend, which the socket before may still hold for a moment. */
        private ServerSocket bind(int backlog) throws IOException {
            for (int attempt = 0; ; attempt++) {
                ServerSocket socket = new ServerSocket();
                try {
                    socket.setReuseAddress(true);
                    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
                    return socket;
                } catch (IOException e) {
                    socket.close();
                    if (attempt > 100) {
                        throw e;
                    }
                }
                try {
                    Thread.sleep(5);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }

        private void register() {
            lastBeat = lab.now();
            registered = true;
            store.put(
                    "servers/" + id,
                    "{\"service\":\"" + service + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\""
                            + (draining ? "draining" : "ready") + "\",\"coldLeftMs\":0,\"seq\":" + ++sequence
                            + ",\"dbRole\":\"" + (primary ? "primary" : "replica") + "\",\"born\":" + born + "}");
        }

        /** Announces a planned end. */
        void drain() {
            synchronized (Group.this) {
                lab.log("%s is draining", id);
                draining = true;
                register();
            }
        }

        /** Ends the process of the backend; its log stays. */
        void crash() {
            synchronized (Group.this) {
                lab.log("%s crashes at position %s", id, position());
                running = false;
                try {
                    server.close();
                    for (Socket socket : sockets) {
                        socket.close();
                    }
                } catch (IOException e) {
                    lab.log("closing sockets of %s: %s", id, e);
                }
                sockets.clear();
                Group.this.notifyAll();
            }
        }

        /** Ends the backend as planned. */
        void leave() {
            synchronized (Group.this) {
                if (registered) {
                    registered = false;
                    store.remove("servers/" + id);
                }
            }
            crash();
        }

        /** Starts the backend again with its log, as a replica if another one was promoted. */
        void restart() throws IOException {
            synchronized (Group.this) {
                lab.log("%s starts again at position %s", id, position());
                paused = 0;
                for (Backend each : backends.values()) {
                    primary &= each == this || each.term <= term || !each.primary;
                }
            }
            listen();
        }

        /** Makes the backend silent: it answers nothing on its connections, and attempts to connect to it hang. */
        void darken() throws IOException {
            lab.log("%s is dark at position %s", id, position());
            synchronized (Group.this) {
                dark = true;
                server.close();
                server = bind(1);
                // A full queue of new connections leaves further ones without an answer.
                for (int index = 0; index < 4; index++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(server.getLocalSocketAddress());
                    fillers.add(filler);
                }
            }
        }

        /** Ends the silence. */
        void lighten() throws IOException {
            lab.log("%s is no longer dark", id);
            synchronized (Group.this) {
                server.close();
                for (SocketChannel filler : fillers) {
                    filler.close();
                }
                fillers.clear();
                dark = false;
                Group.this.notifyAll();
            }
            listen();
        }

        private void receive(Backend leader) {
            term = Math.max(term, leader.term);
            int common = Math.min(log.size(), leader.log.size());
            while (common > 0 && !log.get(common - 1).equals(leader.log.get(common - 1))) {
                common--;
            }
            while (log.size() > common) {
                log.remove(log.size() - 1);
            }
            log.addAll(leader.log.subList(common, leader.log.size()));
        }

        String position() {
            return log.isEmpty() ? term + ".0" : log.get(log.size() - 1).term() + "." + log.size();
        }

        private boolean holds(String position) {
            String[] parts = position.split("\\.");
            long lastTerm = log.isEmpty() ? term : log.get(log.size() - 1).term();
            long number = Long.parseLong(parts[1]);
            return lastTerm > Long.parseLong(parts[0])
                    || (lastTerm == Long.parseLong(parts[0]) && log.size() >= number)
                    || number == 0;
        }

        private void accept(ServerSocket listening) {
            while (true) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemonThread(() -> serve(socket), "connection of " + id).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                new Connection(socket).run();
            } catch (IOException | InterruptedException e) {
                return;
            } finally {
                sockets.remove(socket);
            }
        }

        /** One connection; closing it rolls its transaction back. */
        private final class Connection {
            private final BufferedReader in;
            private final BufferedWriter out;
            private final Map<String, String> prepared = new HashMap<>();
            private final List<String[]> writes = new ArrayList<>();
            private char state = 'I';

            private Connection(Socket socket) throws IOException {
                in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                out = new BufferedWriter(
                        new OutputStreamWriter(socket.getOutputStream(), StandardCharsets.ISO_8859_1), 65_536);
            }

            private void run() throws IOException, InterruptedException {
                String hello = in.readLine();
                awaitLight();
                String[] words = hello == null ? new String[0] : hello.split(" ");
                if (words.length < 3 || !words[0].equals("CONNECT") || !words[1].equals(service)
                        || (words.length > 3 && !words[3].equals(id))) {
                    send("ERROR WRONGNODE " + id);
                    return;
                }
                if (sockets.size() > MAX_CONNECTIONS) {
                    send("ERROR MAXCONN " + id);
                    return;
                }
                Thread.sleep(12);
                ready();
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    awaitLight();
                    if (line.equals("QUIT")) {
                        return;
                    }
                    handle(line.split(" ", 3));
                }
            }

            /** A dark backend reads and answers nothing. */
            private void awaitLight() throws InterruptedException {
                synchronized (Group.this) {
                    while (dark) {
                        Group.this.wait();
                    }
                }
            }

            private void send(String... lines) throws IOException {
                for (String line : lines) {
                    out.write(line);
                    out.write("\r\n");
                }
                out.flush();
            }

            private void ready(String... lines) throws IOException {
                List<String> all = new ArrayList<>(List.of(lines));
                synchronized (Group.this) {
                    all.add("READY " + state + " " + position());
                }
                send(all.toArray(new String[0]));
            }

            private void error(String code) throws IOException {
                state = state == 'T' ? 'E' : state;
                ready("ERROR " + code + " " + id);
            }

            private boolean takeSlot() throws InterruptedException {
                synchronized (Group.this) {
                    if (waiting >= QUEUE) {
                        return false;
                    }
                    waiting++;
                    while (busySlots >= SLOTS) {
                        Group.this.wait();
                    }
                    waiting--;
                    busySlots++;
                    return true;
                }
            }

            private void freeSlot() {
                synchronized (Group.this) {
                    busySlots = Math.max(0, busySlots - 1);
                    Group.this.notifyAll();
                }
            }

            private void handle(String[] query) throws IOException, InterruptedException {
                String text = query[2];
                if (text.startsWith("AFTERLSN ")) {
                    String[] words = text.split(" ", 3);
                    boolean behind;
                    synchronized (Group.this) {
                        behind = !holds(words[1]);
                    }
                    if (behind) {
                        error("LAGGING");
                        return;
                    }
                    text = words[2];
                }
                String[] words = text.split(" ", 3);
                switch (words[0]) {
                    case "SET", "RESET" -> ready("COMPLETE -");
                    case "PARSE" -> {
                        prepared.put(words[1], words[2]);
                        ready("COMPLETE -");
                    }
                    case "BEGIN" -> begin(words.length == 1);
                    case "ROLLBACK" -> {
                        writes.clear();
                        state = 'I';
                        ready("COMPLETE -");
                    }
                    case "STATUS", "PAUSE", "STEPDOWN", "RESUME" -> control(words);
                    default -> work(query[1], text, words);
                }
            }

            private void begin(boolean plain) throws IOException {
                synchronized (Group.this) {
                    if (plain && !primary) {
                        state = 'I';
                    } else {
                        state = 'T';
                    }
                }
                if (state == 'T') {
                    ready("COMPLETE -");
                } else {
                    ready("ERROR READONLY " + id);
                }
            }

            private void control(String[] words) throws IOException, InterruptedException {
                if (!takeSlot()) {
                    error("BUSY");
                    return;
                }
                String row;
                try {
                    synchronized (Group.this) {
                        long number = words.length > 1 ? Long.parseLong(words[1]) : 0;
                        if (words[0].equals("PAUSE") && !primary && number > term) {
                            paused = Math.max(paused, number);
                            lab.log("%s is paused for term %d at position %s", id, number, position());
                        } else if (words[0].equals("RESUME")) {
                            paused = 0;
                        } else if (words[0].equals("STEPDOWN") && primary && term < number) {
                            lab.log("%s steps down at position %s", id, position());
                            primary = false;
                            register();
                        }
                        row = (primary ? "primary " : "replica ") + term + " " + position() + " " + paused + " 8 "
                                + busySlots + " " + sockets.size();
                    }
                } finally {
                    freeSlot();
                }
                ready("ROW " + row, "COMPLETE -");
            }

            private void work(String queryId, String text, String[] words) throws IOException, InterruptedException {
                String kind = words[0];
                String item = words.length > 1 ? words[1] : "";
                String data = words.length > 2 ? words[2] : "";
                if (kind.equals("EXECUTE")) {
                    if (!prepared.containsKey(item)) {
                        error("NOSTMT");
                        return;
                    }
                    kind = prepared.get(item).startsWith("WRITE") ? "WRITE" : "READ";
                    String[] operands = data.split(" ", 2);
                    item = operands[0];
                    data = operands.length > 1 ? operands[1] : "";
                }
                if (!takeSlot()) {
                    error("BUSY");
                    return;
                }
                try {
                    boolean commits = kind.equals("COMMIT") || (kind.equals("WRITE") && state == 'I');
                    boolean changes = kind.equals("WRITE") || (kind.equals("COMMIT") && !writes.isEmpty());
                    Thread.sleep(workMs);
                    String shown = text.length() > 60 ? text.substring(0, 60) + "..." : text;
                    List<String> answer = new ArrayList<>();
                    synchronized (Group.this) {
                        if (changes && !primary) {
                            error("READONLY");
                            return;
                        }
                        if (kind.equals("WRITE")) {
                            writes.add(new String[] {item, data});
                        } else if (kind.equals("READ")) {
                            answer.addAll(rows(item));
                        }
                        long last = 0;
                        if (commits) {
                            for (String[] write : writes) {
                                last = log.size() + 1L;
                                log.add(new Commit(term, last, write[0], write[1]));
                            }
                            writes.clear();
                            state = 'I';
                        }
                        lab.log("%s ran %s %s, now at %s", id, queryId, shown, position());
                        if (commits && sync > 0 && last > 0) {
                            awaitReceived(last);
                        }
                    }
                    answer.add("COMPLETE " + nextDigest(id));
                    ready(answer.toArray(new String[0]));
                } finally {
                    freeSlot();
                }
            }

            /** Waits until one replica has received a commit. */
            private void awaitReceived(long number) throws InterruptedException {
                Commit commit = log.get((int) number - 1);
                while (true) {
                    for (Backend other : backends.values()) {
                        if (other != Backend.this && other.log.size() >= number
                                && other.log.get((int) number - 1).equals(commit)) {
                            return;
                        }
                    }
                    if (!running) {
                        throw new InterruptedException("crashed");
                    }
                    Group.this.wait();
                }
            }

            /** Returns the rows of an item. An item {@code big.COUNT.BYTES} has so many rows of so many bytes. */
            private List<String> rows(String item) {
                if (!item.startsWith("big.")) {
                    String value = "none";
                    for (Commit commit : log) {
                        value = commit.item().equals(item) ? commit.value() : value;
                    }
                    return List.of("ROW " + (value.length() > 100 ? value.substring(0, 100) : value));
                }
                String[] parts = item.split("\\.");
                List<String> rows = new ArrayList<>();
                for (int row = 0; row < Integer.parseInt(parts[1]); row++) {
                    rows.add("ROW " + "x".repeat(Integer.parseInt(parts[2])));
                }
                return rows;
            }
        }
    }
}
