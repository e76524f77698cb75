package org.lavenderwick.daemon.entry;

import java.util.Optional;

import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.group.WorkRunner;

/** Lookup of the database groups that this daemon currently owns. Thread-safe. */
@FunctionalInterface
public interface GroupDirectory {
    /**
     * Returns the runner for a request, or empty if this daemon can't run it. A daemon can run a request if it owns the
     * group and may use its share of the endpoint connections, or if the transaction of the request is open here.
     */
    Optional<WorkRunner> runner(WorkRequest work);
}
