package org.lavenderwick.daemon.entry;

import java.util.Optional;

import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkRunner;

/** The groups that this daemon owns now. Thread-safe. */
@FunctionalInterface
public interface GroupDirectory {
    /**
     * Returns what runs the work, if this daemon owns its group and may use its connection shares, or still has the
     * transaction to which the work belongs.
     */
    Optional<WorkRunner> runner(WorkRequest work);
}
