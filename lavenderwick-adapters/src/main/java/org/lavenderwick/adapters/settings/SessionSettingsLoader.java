package org.lavenderwick.adapters.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import io.vavr.control.Either;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/** Reads the settings of a daemon that serves the session interface. The file is checked whole. */
public final class SessionSettingsLoader {

    private static final Duration MAX_STOP_TIME = Duration.ofMinutes(10);

    private static final Duration MAX_CHANGE_BOUND = Duration.ofMinutes(1);

    /** Bound of the configuration guarantee in the users' brief: in force everywhere within seconds. */
    private static final Duration DEFAULT_CHANGE_BOUND = Duration.ofSeconds(3);

    private static final Duration MAX_RATE_LIMIT_WINDOW = Duration.ofMinutes(10);

    private static final double MAX_RATE_LIMIT_EXCESS = 10;

    private static final double MAX_RATE_LIMIT_SLACK = 1e6;

    private static final double MAX_PRICE_PER_MEGABYTE = 1e9;

    private static final String ADAPTIVE = "adaptive";

    /** How statements are spread over endpoints; the first is the default. */
    private static final List<String> BALANCING = List.of("static", ADAPTIVE);

    private static final String ADDRESS = "an IP address and port such as 127.0.1.1:7000";

    private SessionSettingsLoader() {}

    /** Returns the settings in a file, or every problem found in it. */
    public static Either<List<SettingsProblem>, SessionSettings> load(Path file) {
        return SettingsDocument.load(file, SessionSettingsLoader::read);
    }

    /** Returns the settings in a JSON text, or every problem found in it. */
    public static Either<List<SettingsProblem>, SessionSettings> parse(String json) {
        return SettingsDocument.parse(json, SessionSettingsLoader::read);
    }

    private static SessionSettings read(SettingsReader reader, List<SettingsProblem> problems) {
        String daemon = reader.text("daemon", "a name", text -> !text.isBlank());
        String domain = reader.text("failureDomain", "a name", text -> !text.isBlank());
        String callers = reader.text("callerAddress", ADDRESS, Addresses::isIpAndPort);
        String readiness = reader.text("readinessAddress", ADDRESS, Addresses::isIpAndPort);
        String peer = reader.text("peerAddress", ADDRESS, Addresses::isIpAndPort);
        List<String> seeds = reader.texts("seeds", ADDRESS, Addresses::isIpAndPort);
        String store = reader.text("storeAddress", ADDRESS, Addresses::isIpAndPort);
        String promotion = reader.text("promotionAddress", ADDRESS, Addresses::isIpAndPort);
        Duration changeBound = reader.millis("configurationMs", MAX_CHANGE_BOUND, DEFAULT_CHANGE_BOUND);
        Duration stopTime = reader.seconds("stopSeconds", MAX_STOP_TIME);
        Optional<RateLimitBounds> rateLimits = readRateLimits(reader);
        boolean adaptive = reader.choice("balancing", BALANCING).equals(ADAPTIVE);
        OptionalDouble crossDomainPrice = readCrossDomainPrice(reader);
        reader.finish();
        if (!problems.isEmpty()) {
            return null;
        }
        return new SessionSettings(
                DaemonName.of(daemon),
                FailureDomain.of(domain),
                Addresses.socketAddress(callers),
                Addresses.socketAddress(readiness),
                Addresses.socketAddress(peer),
                seeds.stream().map(Addresses::socketAddress).toList(),
                Addresses.socketAddress(store),
                Addresses.socketAddress(promotion),
                changeBound,
                stopTime,
                rateLimits,
                new BalancingSettings(adaptive, crossDomainPrice));
    }

    private static OptionalDouble readCrossDomainPrice(SettingsReader reader) {
        if (!reader.has("crossDomain")) {
            return OptionalDouble.empty();
        }
        SettingsReader crossDomain = reader.object("crossDomain");
        double price = crossDomain.number("pricePerMegabyte", 0, MAX_PRICE_PER_MEGABYTE);
        crossDomain.finish();
        return OptionalDouble.of(price);
    }

    private static Optional<RateLimitBounds> readRateLimits(SettingsReader reader) {
        if (!reader.has("rateLimits")) {
            return Optional.empty();
        }
        SettingsReader limits = reader.object("rateLimits");
        Duration window = limits.seconds("windowSeconds", MAX_RATE_LIMIT_WINDOW);
        double excess = limits.number("excess", 0, MAX_RATE_LIMIT_EXCESS);
        double slack = limits.number("slack", 0, MAX_RATE_LIMIT_SLACK);
        limits.finish();
        return Optional.of(new RateLimitBounds(window, excess, slack));
    }
}
