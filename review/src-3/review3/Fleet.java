package review3;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.FreePorts;
import org.lavenderwick.platform.standin.StoreStandin;

/** A small deployment on loopback addresses: the store, one database of three endpoints, and daemon processes. */
public final class Fleet implements AutoCloseable {

    /** Name of the service that the database belongs to. */
    public static final String SERVICE = "db";

    private static final String DEPLOYED_SETTINGS = "/etc/lavenderwick/local.toml";

    private final Record record;
    private final Path directory;
    private final StoreStandin store;
    private final DatabaseStandin database;
    private final List<Daemon> daemons = new ArrayList<>();

    /** One daemon; its addresses stay the same when it is started again. */
    public final class Daemon {

        private final String name;
        private final InetSocketAddress callers;
        private final InetSocketAddress readiness;
        private final InetSocketAddress peers;
        private InetSocketAddress storeAddress;
        private volatile Process process;

        private Daemon(String name) throws IOException {
            this.name = name;
            callers = FreePorts.next();
            readiness = FreePorts.next();
            peers = FreePorts.next();
            storeAddress = store.address();
        }

        /** Returns the name. */
        public String name() {
            return name;
        }

        /** Returns the address for clients. */
        public InetSocketAddress callers() {
            return callers;
        }

        /** Sets the address at which this daemon reaches the store. */
        public void storeAt(InetSocketAddress address) {
            storeAddress = address;
        }

        /** Starts the process with the command of the deploy file. */
        public void start() throws IOException {
            Path settings = directory.resolve(name + ".json");
            Files.writeString(settings, settings());
            process = new ProcessBuilder(command(settings))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
                    .start();
            record.line("%s started", name);
        }

        private String settings() {
            return String.format(
                    "{\"daemon\":\"%s\",\"failureDomain\":\"z1\",\"callerAddress\":\"%s\",\"readinessAddress\":\"%s\","
                            + "\"peerAddress\":\"%s\",\"seeds\":[%s],\"storeAddress\":\"%s\","
                            + "\"promotionAddress\":\"%s\",\"configurationMs\":3000,\"stopSeconds\":6}",
                    name,
                    text(callers),
                    text(readiness),
                    text(peers),
                    daemons.stream()
                            .map(daemon -> "\"" + text(daemon.peers) + "\"")
                            .collect(Collectors.joining(",")),
                    text(storeAddress),
                    text(database.ordersAddress()));
        }

        private Path log() {
            return directory.resolve(name + ".log");
        }

        /** Returns the lines of the log that contain a text. */
        public List<String> logLines(String text) throws IOException {
            try (Stream<String> lines = Files.lines(log(), StandardCharsets.ISO_8859_1)) {
                return lines.filter(line -> line.contains(text)).toList();
            }
        }

        /** Returns the process. */
        public Process process() {
            return process;
        }

        /** Returns whether the process runs. */
        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Asks for readiness like the platform does. */
        public boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(readiness, 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write("GET /lavenderwick/ready HTTP/1.1\r\nHost: d\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String line = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
                return line != null && line.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits until the daemon has acknowledged a write. */
        public void awaitServing(String route) throws IOException, InterruptedException {
            for (int attempt = 0; attempt < 200; attempt++) {
                try (Client client = new Client(callers, 16 << 10)) {
                    if (client.connect(route).startsWith("READY")
                            && client.query("warm-" + name + "-" + attempt, "WRITE warm 1").isSuccess()) {
                        return;
                    }
                } catch (IOException e) {
                    // It has not started yet.
                }
                Thread.sleep(100);
            }
            throw new IOException(name + " serves nothing");
        }

        @Override
        public String toString() {
            return name;
        }
    }

    /** Starts the stand-ins; the daemons are started one by one. */
    public Fleet(Record record, int daemonCount) throws IOException {
        this.record = record;
        directory = Files.createTempDirectory("review3-");
        store = StoreStandin.start();
        database = DatabaseStandin.start(SERVICE, 3, store);
        for (int number = 1; number <= daemonCount; number++) {
            daemons.add(new Daemon("d" + number));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private void endProcesses() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
            }
        }
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static List<String> command(Path settings) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replace("run = ", "")
                .replace("\"", "")
                .trim();
        return List.of(run.replace(DEPLOYED_SETTINGS, settings.toString()).split(" "));
    }

    /** Returns the store. */
    public StoreStandin store() {
        return store;
    }

    /** Returns the database. */
    public DatabaseStandin database() {
        return database;
    }

    /** Returns the daemons. */
    public List<Daemon> daemons() {
        return daemons;
    }

    /** Starts all daemons and waits until they serve the route. */
    public void start(String route) throws IOException, InterruptedException {
        for (Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemon daemon : daemons) {
            daemon.awaitServing(route);
        }
        record.line("all daemons serve");
    }

    @Override
    public void close() {
        endProcesses();
        try {
            for (Daemon daemon : daemons) {
                if (daemon.process != null) {
                    daemon.process.waitFor(5, TimeUnit.SECONDS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        database.close();
        store.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            record.line("the temporary folder was not removed: %s", e);
        }
    }
}
