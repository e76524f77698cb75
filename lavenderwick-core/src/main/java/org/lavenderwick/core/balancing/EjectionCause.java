package org.lavenderwick.core.balancing;

/** Why an endpoint was ejected. */
public enum EjectionCause {
    /** It fails a larger share of its statements than the other endpoints. */
    FAILING,
    /** Its latency over the expected service time is a multiple of that of the other endpoints. */
    SLOW,
    /** It has left statements without a response for too long. */
    HANGING,
    /** Its connections broke while statements were running on them, or no new one could be opened. */
    DISCONNECTED
}
