package org.lavenderwick.core.balancing;

/** How a statement that was sent to an endpoint ended. */
public enum StatementOutcome {
    /** The endpoint ran the statement. */
    SUCCEEDED,
    /** The endpoint reported that the statement failed or exceeded a time limit. */
    FAILED,
    /** The endpoint rejected the statement because its slots and its queue were full. */
    REJECTED,
    /** The connection was closed before the response. */
    LOST,
    /** The statement was not run for a reason that says nothing about the quality of the endpoint. */
    NOT_RUN
}
