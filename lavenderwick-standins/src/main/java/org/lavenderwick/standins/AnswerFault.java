package org.lavenderwick.standins;

/** What can happen to the answer of a request that an endpoint has run. */
public enum AnswerFault {
    /** No answer is sent and the connection stays open. */
    LOST,
    /** The connection closes without answer. */
    DISCONNECTED,
    /** The connection closes after half of the answer. */
    CUT_SHORT,
    /** An answer with the id of another request comes first, then the right one; then the connection runs no more. */
    STRAY_BEFORE,
    /** The right answer comes first, then one with the id of another request; then the connection runs no more. */
    STRAY_AFTER
}
