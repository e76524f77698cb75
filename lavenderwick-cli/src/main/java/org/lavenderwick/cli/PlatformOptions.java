package org.lavenderwick.cli;

import java.time.Duration;

import com.beust.jcommander.Parameter;
import org.lavenderwick.adapters.platform.HttpPlatformPort;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.core.time.TokenBucket;

/** Options of commands that call the platform. */
final class PlatformOptions {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

    /** One command makes some dozens of calls at most; a loop by mistake must not load the platform. */
    private static final int CALL_BURST = 100;

    private static final double CALLS_PER_SECOND = 20;

    @Parameter(
            names = {"--platform"},
            description = "IP address and port of the platform.",
            required = true,
            validateWith = AddressOption.class)
    private String platform;

    @Parameter(
            names = {"--bind"},
            description = "Local IP address from which to call; by default the system chooses.",
            validateWith = IpOption.class)
    private String bind = "0.0.0.0";

    String address() {
        return platform;
    }

    /** Returns a port to the platform, which the caller closes. */
    PlatformPort open(MonotonicClock clock) {
        return HttpPlatformPort.create(
                platform, bind, CALL_TIMEOUT, TokenBucket.of(CALL_BURST, CALLS_PER_SECOND, clock));
    }
}
