package org.lavenderwick.core.promotion;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** An action that a {@link PrimaryMonitor} asks its caller to perform. */
public sealed interface MonitorAction {

    /**
     * Request to query the status of an endpoint.
     *
     * @param endpoint the endpoint to query
     */
    record Probe(EndpointName endpoint) implements MonitorAction {}

    /**
     * Request to start a promotion, unless this daemon already runs one of the group.
     *
     * @param term term whose primary is unreachable
     */
    record StartPromotion(Term term) implements MonitorAction {}

    /**
     * Request to withdraw the promotion of a primary that responds again. It has no effect once the promotion has
     * changed the group record.
     *
     * @param term term of that primary
     */
    record WithdrawPromotion(Term term) implements MonitorAction {}

    /**
     * Request to resume the unfinished promotion in the group record, unless this daemon already runs one of the group.
     */
    record ResumePromotion() implements MonitorAction {}
}
