package org.lavenderwick.core.failover;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.Failure;

/** The polls of a candidate after its promotion was requested, until it leads. Confined to one thread. */
final class CandidateMonitor {

    /** Polls without a confirmed promotion after which the promotion is requested again. */
    private static final int POLLS_PER_PROMOTION_REQUEST = 20;

    private final EndpointControl endpoints;
    private int polls;

    CandidateMonitor(EndpointControl endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Asks the candidate for its state.
     *
     * @param lowestTerm the lowest term in which the candidate may lead so that its promotion is over
     * @return its report; empty unless it leads such a term
     */
    Optional<EndpointReport> poll(EndpointEntry candidate, long lowestTerm) {
        polls++;
        Either<Failure, EndpointReport> report = endpoints.status(candidate);
        return report.toJavaOptional()
                .filter(found -> found.role() == EndpointRole.PRIMARY)
                .filter(found -> found.term() >= lowestTerm);
    }

    /** Returns whether the promotion is to be requested again after the last poll. */
    boolean isRequestDue() {
        return polls > 0 && polls % POLLS_PER_PROMOTION_REQUEST == 0;
    }
}
