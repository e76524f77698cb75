package org.lavenderwick.core.time;

import java.time.InstantSource;

/**
 * The clocks of a host.
 *
 * @param steady measures spans of time; has no relation to the time of day
 * @param timeOfDay tells people when something happened; may be set at any moment
 */
public record Clocks(MonotonicClock steady, InstantSource timeOfDay) {}
