package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.lavenderwick.platform.standin.FreePorts;
import org.lavenderwick.platform.standin.SessionClient;

/** A daemon in a process of its own, which can be stopped by signals and started again at the same addresses. */
final class DaemonProcess {

    private static final String SETTINGS = """
            {"daemon":"%s","failureDomain":"z1","callerAddress":"%s","readinessAddress":"%s","peerAddress":"%s",
             "seeds":[],"storeAddress":"%s","promotionAddress":"%s","configurationMs":3000,"stopSeconds":%d}
            """;

    private final Path settings;
    private final Path log;
    private final int stopSeconds;
    private final InetSocketAddress callerAddress = FreePorts.next();
    private final InetSocketAddress readinessAddress = FreePorts.next();
    private volatile Process process;

    /** Writes the settings of a daemon that is not started. */
    DaemonProcess(String name, Path directory, InetSocketAddress store, InetSocketAddress promotions, int stopSeconds)
            throws IOException {
        this.settings = directory.resolve(name + ".json");
        this.log = directory.resolve(name + ".log");
        this.stopSeconds = stopSeconds;
        Files.writeString(
                settings,
                SETTINGS.formatted(
                        name,
                        text(callerAddress),
                        text(readinessAddress),
                        text(FreePorts.next()),
                        text(store),
                        text(promotions),
                        stopSeconds));
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    InetSocketAddress callerAddress() {
        return callerAddress;
    }

    /** Starts the process without waiting until it serves. */
    void start() throws IOException {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.lavenderwick.daemon.Main",
                        "--sessions",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    void awaitService() throws Exception {
        SessionFleet.await(() -> {
            try (SessionClient client = SessionClient.open(callerAddress, SessionFleet.DATABASE)) {
                return SessionFleet.succeeded(client.query("WRITE " + SessionFleet.PROBE_ITEM + " 1"));
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Returns whether the daemon answers a readiness probe with 200, as the platform asks for it. */
    boolean isReady() {
        try (SessionClient client = SessionClient.connect(readinessAddress)) {
            return String.valueOf(client.askReady()).contains(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal, such as {@code TERM} or {@code HUP}. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the process has ended after a signal, and kills it at the end of the stop time as the platform does. */
    boolean awaitEnd() throws InterruptedException {
        boolean hasEnded = process.waitFor(stopSeconds, TimeUnit.SECONDS) && process.exitValue() == 0;
        process.destroyForcibly().waitFor();
        return hasEnded;
    }

    /** Returns the lines that the processes of this daemon have logged. */
    List<String> logLines() throws IOException {
        return Files.readAllLines(log);
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
