package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.Optional;

/** Predicts when a replica can serve a read. */
@FunctionalInterface
public interface ReplicaForecast {

    /**
     * Returns the time at which a replica is expected to hold the log position that a read requires; now or earlier if
     * one holds it already, and empty if none is expected to.
     */
    Optional<Duration> readyAt(Operation operation, Duration now);
}
