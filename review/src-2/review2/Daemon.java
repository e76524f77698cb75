package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lavenderwick.platform.standin.FreePorts;

/** A daemon as a process of its own, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"");

    private final String name;
    private final InetSocketAddress front = FreePorts.next();
    private final InetSocketAddress ready = FreePorts.next();
    private final Path folder;
    private final Record record;
    private Process process;
    private int starts;

    Daemon(String name, String zone, InetSocketAddress store, InetSocketAddress cloud, Path folder, Record record)
            throws IOException {
        this.name = name;
        this.folder = folder;
        this.record = record;
        InetSocketAddress peer = FreePorts.next();
        Files.writeString(settings(), String.format(
                "{\"daemon\":\"%s\",\"failureDomain\":\"%s\",\"callerAddress\":\"%s\",\"readinessAddress\":\"%s\","
                        + "\"peerAddress\":\"%s\",\"seeds\":[],\"storeAddress\":\"%s\",\"promotionAddress\":\"%s\","
                        + "\"configurationMs\":3000,\"stopSeconds\":6}",
                name, zone, text(front), text(ready), text(peer), text(store), text(cloud)));
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private Path settings() {
        return folder.resolve(name + ".json");
    }

    String name() {
        return name;
    }

    InetSocketAddress front() {
        return front;
    }

    /** Starts the process. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file names no command");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.set(command.size() - 1, settings().toString());
        File log = folder.resolve(name + ".log").toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        starts++;
        record.line("%s started, start %d", name, starts);
    }

    Process process() {
        return process;
    }

    /** Asks as the platform does; any failure counts as a miss. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(ready, 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /lavenderwick/ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] head = socket.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long millis) throws InterruptedException, IOException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IOException(name + " did not become ready");
            }
            Thread.sleep(100);
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
        record.line("%s gets SIGTERM", name);
    }

    /** Returns the lines that the daemon logged. */
    List<String> log() throws IOException {
        return Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
