package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One run of a case: the record, the daemons as separate processes, and the exit status. */
final class Lab {

    /** The rule was broken. Not 1, with which Java ends if it cannot run the case; run.sh makes it 1. */
    static final int BROKEN = 11;

    /** The rule held. */
    static final int HELD = 0;

    /** The case could not run. */
    static final int CANNOT_RUN = 2;

    private static final long LIMIT_SECONDS = 115;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Daemon> daemons = new CopyOnWriteArrayList<>();

    /** A case. */
    interface Script {
        /** Runs the case and returns its exit status. */
        int run(Lab lab) throws Exception;
    }

    private Lab(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
    }

    /** Runs a case and ends the process with its status. The first argument is the path of the record. */
    static void main(String[] arguments, Script script) throws IOException {
        Lab lab = new Lab(Path.of(arguments[0]));
        Thread watchdog = new Thread(() -> {
            sleepQuietly(LIMIT_SECONDS * 1000);
            lab.log("the case did not end within %d s", LIMIT_SECONDS);
            lab.exit(CANNOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(lab::end));
        int status = CANNOT_RUN;
        try {
            lab.log("trouble %s", lab.trouble ? "on" : "off");
            status = script.run(lab);
        } catch (Throwable e) {
            lab.log("the case could not run: %s", e);
            e.printStackTrace();
        }
        lab.exit(status);
    }

    private void exit(int status) {
        String meaning = status == BROKEN ? "the rule was broken" : status == HELD ? "the rule held" : "no result";
        log("end: %s (exit %d)", meaning, status);
        System.out.println(meaning);
        end();
        Runtime.getRuntime().halt(status);
    }

    private void end() {
        daemons.forEach(Daemon::kill);
    }

    /** Returns the milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void log(String format, Object... values) {
        String line = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
        record.println(String.format(Locale.ROOT, "%9.3f %s", now() / 1000.0, line));
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    private static void sleepQuietly(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sleeps until a time of the case. */
    void sleepUntil(long millis) throws InterruptedException {
        sleep(millis - now());
    }

    private static final Set<Integer> USED_PORTS = new java.util.HashSet<>();

    /** Returns an address of the loopback interface whose port is free now, outside of the range for outgoing ports. */
    static synchronized InetSocketAddress freeAddress() throws IOException {
        java.util.Random random = new java.util.Random();
        while (true) {
            int port = 12_000 + random.nextInt(18_000);
            if (!USED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
            } catch (IOException e) {
                continue;
            }
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Creates a daemon, which is not started yet. */
    Daemon daemon(String name, String zone, InetSocketAddress store, InetSocketAddress cloud, List<InetSocketAddress> seeds)
            throws IOException {
        Daemon daemon = new Daemon(this, name, zone, store, cloud, seeds);
        daemons.add(daemon);
        return daemon;
    }

    /** A daemon of the deploy file with its settings. */
    static final class Daemon {
        final String name;
        final String zone;
        final InetSocketAddress caller = freeAddress();
        final InetSocketAddress ready = freeAddress();
        final InetSocketAddress peer = freeAddress();
        private final Lab lab;
        private final Path settings;
        private Process process;
        private int starts;

        private Daemon(
                Lab lab,
                String name,
                String zone,
                InetSocketAddress store,
                InetSocketAddress cloud,
                List<InetSocketAddress> seeds)
                throws IOException {
            this.lab = lab;
            this.name = name;
            this.zone = zone;
            settings = lab.folder.resolve(name + ".json");
            List<String> seedTexts = new ArrayList<>();
            seeds.forEach(seed -> seedTexts.add("\"" + text(seed) + "\""));
            // The content that deploy/settings.json gives with the bounds of the site.
            Files.writeString(
                    settings,
                    "{\"daemon\":\"" + name + "\",\"failureDomain\":\"" + zone + "\",\"callerAddress\":\"" + text(caller)
                            + "\",\"readinessAddress\":\"" + text(ready) + "\",\"peerAddress\":\"" + text(peer)
                            + "\",\"seeds\":[" + String.join(",", seedTexts) + "],\"storeAddress\":\"" + text(store)
                            + "\",\"promotionAddress\":\"" + text(cloud)
                            + "\",\"configurationMs\":3000,\"stopSeconds\":6}");
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no command");
            }
            List<String> command = new ArrayList<>();
            for (String word : run.group(1).split(" ")) {
                command.add(word.equals("/etc/lavenderwick/local.toml") ? settings.toString() : word);
            }
            starts++;
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(lab.folder.resolve(name + "-" + starts + ".log").toFile());
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            process = builder.start();
            lab.log("start of %s, process %d", name, process.pid());
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitStatus() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        /** Sends a signal to the process by its id. */
        void signal(String signal) throws IOException, InterruptedException {
            lab.log("SIG%s to %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Ends the process at once. */
        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        /** Waits until the daemon says that it is ready. */
        void awaitReady(long millis) throws Exception {
            long end = lab.now() + millis;
            while (lab.now() < end) {
                if (isReady()) {
                    return;
                }
                sleep(50);
            }
            throw new IOException(name + " is not ready");
        }

        boolean isReady() {
            try (java.net.Socket socket = new java.net.Socket()) {
                socket.connect(ready, 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /lavenderwick/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                return new String(head, StandardCharsets.US_ASCII).endsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Returns the lines that all starts of the daemon logged and that contain a text. */
        List<String> logLines(String part) throws IOException {
            List<String> lines = new ArrayList<>();
            for (int start = 1; start <= starts; start++) {
                Path file = lab.folder.resolve(name + "-" + start + ".log");
                for (String line : Files.readAllLines(file, StandardCharsets.ISO_8859_1)) {
                    if (line.contains(part)) {
                        lines.add(line);
                    }
                }
            }
            return lines;
        }
    }

    /** Copies the lines of the daemons' logs that contain one of the texts into the record. */
    void recordLogs(String... parts) throws IOException {
        for (Daemon daemon : daemons) {
            for (String part : parts) {
                for (String line : daemon.logLines(part)) {
                    record.println("          log of " + daemon.name + ": " + line);
                }
            }
        }
    }

    static Map<String, String> noHeaders() {
        return Map.of();
    }
}
