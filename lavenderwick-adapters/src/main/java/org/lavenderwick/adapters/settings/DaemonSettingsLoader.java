package org.lavenderwick.adapters.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

import io.vavr.control.Either;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * Reads the settings of a daemon. The file is checked whole: each unknown key, wrong type, missing value and value out
 * of range is reported with its path, all at once.
 */
public final class DaemonSettingsLoader {

    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAX_THREADS = 1024;
    private static final int MIN_REQUEST_BYTES = 1024;
    private static final int MAX_REQUEST_BYTES = 64 << 20;

    private DaemonSettingsLoader() {}

    /** Returns the settings in a file, or every problem found in it. */
    public static Either<List<SettingsProblem>, DaemonSettings> load(Path file) {
        return SettingsDocument.load(file, DaemonSettingsLoader::read);
    }

    /** Returns the settings in a JSON text, or every problem found in it. */
    public static Either<List<SettingsProblem>, DaemonSettings> parse(String json) {
        return SettingsDocument.parse(json, DaemonSettingsLoader::read);
    }

    private static DaemonSettings read(SettingsReader reader, List<SettingsProblem> problems) {
        String daemon = reader.text("daemon", "a name", text -> !text.isBlank());
        String domain = reader.text("failureDomain", "a name", text -> !text.isBlank());
        String address = reader.text("address", "an IP address such as 127.0.1.1", Addresses::isIp);
        int callerPort = reader.integer("callerPort", 0, Addresses.MAX_PORT);
        int operatorPort = reader.integer("operatorPort", 0, Addresses.MAX_PORT);
        int peerPort = reader.integer("peerPort", 0, Addresses.MAX_PORT);
        checkDistinct(List.of(callerPort, operatorPort, peerPort), problems);
        String expected = "an IP address and port such as 127.0.1.1:7000";
        String platform = reader.text("platformAddress", expected, Addresses::isIpAndPort);
        List<String> peers = reader.texts("peers", expected, Addresses::isIpAndPort);
        int threads = reader.integer("trafficThreads", 1, MAX_THREADS, DaemonSettings.DEFAULT_TRAFFIC_THREADS);
        int bytes = reader.integer(
                "maxRequestBytes", MIN_REQUEST_BYTES, MAX_REQUEST_BYTES, DaemonSettings.DEFAULT_MAX_REQUEST_BYTES);
        String logFormat = reader.choice("logFormat", List.of("text", "json"));
        Timeouts timeouts = readTimeouts(reader.object("timeouts"));
        reader.finish();
        if (!problems.isEmpty()) {
            return null;
        }
        return new DaemonSettings(
                DaemonName.of(daemon),
                FailureDomain.of(domain),
                address,
                callerPort,
                operatorPort,
                peerPort,
                platform,
                peers,
                threads,
                bytes,
                LogFormat.valueOf(logFormat.toUpperCase(Locale.ROOT)),
                timeouts);
    }

    private static Timeouts readTimeouts(SettingsReader reader) {
        Timeouts defaults = Timeouts.DEFAULTS;
        Timeouts timeouts = new Timeouts(
                reader.millis("requestMs", MAX_TIMEOUT, defaults.request()),
                reader.millis("endpointMs", MAX_TIMEOUT, defaults.endpoint()),
                reader.millis("connectMs", MAX_TIMEOUT, defaults.connect()),
                reader.millis("relayMs", MAX_TIMEOUT, defaults.relay()),
                reader.millis("platformMs", MAX_TIMEOUT, defaults.platform()),
                reader.millis("exchangeMs", MAX_TIMEOUT, defaults.exchange()),
                reader.millis("drainMs", MAX_TIMEOUT, defaults.drain()));
        reader.finish();
        return timeouts;
    }

    private static void checkDistinct(List<Integer> ports, List<SettingsProblem> problems) {
        List<Integer> fixed = ports.stream().filter(port -> port > 0).toList();
        if (fixed.stream().distinct().count() < fixed.size()) {
            problems.add(new SettingsProblem("callerPort, operatorPort, peerPort", "must differ from each other"));
        }
    }
}
