package org.lavenderwick.daemon.peer;

/** The reason why a call to a peer has no response. */
public enum PeerFailure {
    /** No byte of the call was sent, and none will be. */
    NOT_SENT,
    /** No byte of the call was sent, because the maximum number of connections to this peer is in use. */
    TOO_MANY_CALLS,
    /** The call was sent at least in part, but failed or timed out before a complete response arrived. */
    NO_ANSWER
}
