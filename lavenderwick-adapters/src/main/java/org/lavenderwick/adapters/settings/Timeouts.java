package org.lavenderwick.adapters.settings;

import java.time.Duration;

/**
 * Time bounds of a daemon.
 *
 * @param request time a request may take when the caller states no deadline
 * @param endpoint time an endpoint may take for one answer before its connection counts as silent
 * @param connect time to open a connection
 * @param relay time an owner may take to accept a relayed request
 * @param platform time a platform call may take
 * @param exchange time an exchange with a peer may take
 * @param drain time work in flight may take during a graceful shutdown
 */
public record Timeouts(
        Duration request,
        Duration endpoint,
        Duration connect,
        Duration relay,
        Duration platform,
        Duration exchange,
        Duration drain) {

    /** The time bounds that apply where the settings state none. */
    public static final Timeouts DEFAULTS = new Timeouts(
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30));
}
