package org.lavenderwick.core.time;

import java.time.Duration;

/** A clock that never goes back and is not tied to a calendar. It measures ages and timeouts. */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns the time since an arbitrary, fixed origin; successive calls never return less. */
    Duration now();
}
