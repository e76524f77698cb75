package org.lavenderwick.core.time;

import java.time.InstantSource;

/**
 * The clocks of a host.
 *
 * @param monotonic measures spans of time; has no relation to the time of day
 * @param wall tells people when something happened; may be set at any moment
 */
public record Clocks(MonotonicClock monotonic, InstantSource wall) {}
