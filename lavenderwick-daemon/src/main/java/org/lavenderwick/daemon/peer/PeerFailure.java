package org.lavenderwick.daemon.peer;

/** Why a call to a peer has no answer. */
public enum PeerFailure {
    /** Nothing was sent and nothing will be. */
    NOT_SENT,
    /** Nothing was sent: as many calls as allowed wait for the answers of this peer. */
    TOO_MANY_CALLS,
    /** The call was sent, at least in part, and no answer came in time. */
    NO_ANSWER
}
