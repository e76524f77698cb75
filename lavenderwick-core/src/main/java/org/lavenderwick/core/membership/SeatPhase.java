package org.lavenderwick.core.membership;

/** How far a process is with its seat. */
public enum SeatPhase {
    /** The claim has not been started. */
    NEW,
    /** The process looks for a seat. */
    CLAIMING,
    /** The process has taken over a seat and waits until the former holder has certainly stopped using it. */
    WAITING,
    /** The process holds the seat. */
    HELD,
    /** The process holds the seat, finishes its work and takes no more. */
    LEAVING,
    /** The process gives the seat back. */
    FREEING,
    /** The process has no seat and asks for none. */
    FREED
}
