package org.lavenderwick.core.drain;

/** How far a graceful shutdown is. */
public enum DrainState {
    /** The daemon takes work. */
    RUNNING,
    /** The daemon is not ready, takes no new work and finishes what is in flight. */
    DRAINING,
    /** All work has ended. */
    DONE,
    /** The bound was reached while work was still in flight. */
    BOUND_REACHED
}
