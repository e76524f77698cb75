package org.lavenderwick.core.promotion;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** What the monitor of a primary asks its caller to do. */
public sealed interface MonitorAction {

    /**
     * Ask the endpoint for its state.
     *
     * @param endpoint the endpoint
     */
    record Probe(EndpointName endpoint) implements MonitorAction {}

    /**
     * Start a promotion unless one is running here.
     *
     * @param term term whose primary is unreachable
     */
    record StartPromotion(Term term) implements MonitorAction {}

    /**
     * Withdraw the promotion started for the term if it has changed nothing yet; the primary answers again.
     *
     * @param term term whose primary answers
     */
    record WithdrawPromotion(Term term) implements MonitorAction {}

    /** Take up the half-done promotion in the group record unless one is running here. */
    record ResumePromotion() implements MonitorAction {}
}
