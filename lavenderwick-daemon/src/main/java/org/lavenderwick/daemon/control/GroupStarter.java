package org.lavenderwick.daemon.control;

import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupEnvironment;

/** Gives a newly owned group what its executor runs on. */
public interface GroupStarter {
    /** Returns what the executors of all groups share. */
    GroupEnvironment environment();

    /** Returns the event loop for the next group. */
    EventLoop nextLoop();
}
