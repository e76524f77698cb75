package org.lavenderwick.core.balancing;

/** Why a read was sent to another failure domain although distance matters. */
public enum DepartureReason {
    /** No endpoint in the own failure domain can serve it: unreachable, ejected, draining or behind. */
    UNAVAILABLE,
    /** The only endpoint in the own failure domain is the primary, whose slots are needed for writes. */
    PRIMARY_RESERVED,
    /** The endpoints in the own failure domain are full, and the read would miss its latency target there. */
    OVERLOADED,
    /** The same, and nothing is known about the other endpoint: a single read finds out whether it has capacity. */
    EXPLORATION
}
