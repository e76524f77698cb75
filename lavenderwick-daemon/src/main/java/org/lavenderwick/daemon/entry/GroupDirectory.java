package org.lavenderwick.daemon.entry;

import java.util.Optional;

import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.daemon.group.WorkRunner;

/** The groups that this daemon owns now. Thread-safe. */
@FunctionalInterface
public interface GroupDirectory {
    /** Returns what runs the work of the group, if this daemon owns it and may use its connection shares. */
    Optional<WorkRunner> runner(GroupName group);
}
