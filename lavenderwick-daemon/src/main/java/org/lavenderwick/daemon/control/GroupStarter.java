package org.lavenderwick.daemon.control;

import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupEnvironment;

/** Supplier of the environment and the event loop on which the executor of a newly owned group runs. */
public interface GroupStarter {
    /** Returns the environment shared by the executors of all groups. */
    GroupEnvironment environment();

    /** Returns the event loop for the next group to be started. */
    EventLoop nextLoop();
}
