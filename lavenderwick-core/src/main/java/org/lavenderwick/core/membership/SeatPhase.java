package org.lavenderwick.core.membership;

/** The state of the seat claim of a process. */
public enum SeatPhase {
    /** The claim has not been started. */
    NEW,
    /** The process is trying to acquire a seat. */
    CLAIMING,
    /** The process has taken over a seat, and waits until the former holder must have stopped using it. */
    WAITING,
    /** The process holds the seat. */
    HELD,
    /** The process holds the seat, accepts no new work and completes the work in progress. */
    LEAVING,
    /** The process is releasing its seat. */
    FREEING,
    /** The process has released its seat and will not claim another. */
    FREED
}
