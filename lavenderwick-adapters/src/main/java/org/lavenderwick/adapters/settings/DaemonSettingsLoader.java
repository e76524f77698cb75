package org.lavenderwick.adapters.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
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

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private DaemonSettingsLoader() {}

    /** Returns the settings in a file, or every problem found in it. */
    public static Either<List<SettingsProblem>, DaemonSettings> load(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return problem(file.toString(), "the file does not exist");
        } catch (CharacterCodingException e) {
            return problem(file.toString(), "the file is not UTF-8 text");
        } catch (IOException e) {
            return problem(file.toString(), "the file cannot be read (" + e.getMessage() + ")");
        }
    }

    /** Returns the settings in a JSON text, or every problem found in it. */
    public static Either<List<SettingsProblem>, DaemonSettings> parse(String json) {
        JsonNode root;
        try {
            root = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            String place = e.getLocation() == null
                    ? "(file)"
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            return problem(place, "is not valid JSON (" + e.getOriginalMessage() + ")");
        }
        if (!root.isObject()) {
            return problem("(file)", "must be one JSON object");
        }
        List<SettingsProblem> problems = new ArrayList<>();
        DaemonSettings settings = read(SettingsReader.of(root, problems), problems);
        return problems.isEmpty() ? Either.right(settings) : Either.left(ImmutableList.copyOf(problems));
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

    private static <T> Either<List<SettingsProblem>, T> problem(String path, String reason) {
        return Either.left(List.of(new SettingsProblem(path, reason)));
    }
}
