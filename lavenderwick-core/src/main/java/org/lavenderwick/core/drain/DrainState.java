package org.lavenderwick.core.drain;

/** Progress of the graceful shutdown of a daemon. */
public enum DrainState {
    /** The daemon accepts work. */
    RUNNING,
    /** The daemon reports that it is not ready, rejects new work, and finishes the work in flight. */
    DRAINING,
    /** All work in flight has finished. */
    DONE,
    /** The drain timed out with work still in flight. */
    BOUND_REACHED
}
