package org.lavenderwick.core.time;

import java.time.Duration;

/** A clock that never goes back, for measuring durations. Its time is unrelated to the time of day. */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns the time since an arbitrary fixed origin. Never less than the result of an earlier call. */
    Duration now();
}
