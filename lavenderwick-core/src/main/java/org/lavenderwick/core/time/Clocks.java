package org.lavenderwick.core.time;

import java.time.InstantSource;

/**
 * The clocks of a host.
 *
 * @param monotonic clock for durations and timeouts
 * @param wall clock for timestamps; may be adjusted forward or back at any time
 */
public record Clocks(MonotonicClock monotonic, InstantSource wall) {}
