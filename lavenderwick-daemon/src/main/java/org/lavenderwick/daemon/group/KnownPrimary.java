package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.TermStart;

/**
 * The newest primary of a group that an owner knows of, from group records and from the status of endpoints. It may be
 * out of date: that delays work but loses no writes, because a write is acknowledged only with evidence for the term of
 * the primary. Confined to the event loop of the group.
 */
final class KnownPrimary {
    private Term term = Term.NONE;
    private Optional<EndpointName> primary = Optional.empty();
    private List<TermStart> termStarts = List.of();
    private Duration backOffUntil = Duration.ZERO;

    Term term() {
        return term;
    }

    Optional<EndpointName> primary() {
        return primary;
    }

    List<TermStart> termStarts() {
        return termStarts;
    }

    boolean isPrimary(EndpointName endpoint) {
        return primary.filter(endpoint::equals).isPresent();
    }

    /** Returns whether a primary is known and its back-off, if any, has ended. */
    boolean isUsable(Duration now) {
        return primary.isPresent() && now.compareTo(backOffUntil) >= 0;
    }

    /** Takes in a group record. Returns whether it changed the known primary or its term. */
    boolean applyRecord(GroupRecord record, Duration now) {
        if (term.isAfter(record.term())) {
            return false;
        }
        termStarts = record.termStarts();
        if (record.state() != GroupState.OPEN) {
            return false;
        }
        return adopt(record.term(), record.primary(), now);
    }

    /**
     * Takes in the status of an endpoint. Returns whether it changed the known primary or its term. An endpoint that
     * has promised a newer term than its own no longer counts as primary.
     */
    boolean applyStatus(EndpointStatus status, Duration now) {
        boolean servesAsPrimary = status.primary() && !status.promisedTerm().isAfter(status.term());
        return servesAsPrimary && !term.isAfter(status.term()) && adopt(status.term(), status.endpoint(), now);
    }

    /** Suspends work to the primary of the given term until the given time or until a newer one is known. */
    void backOff(Term rejectedTerm, Duration until) {
        if (rejectedTerm.equals(term)) {
            backOffUntil = until;
        }
    }

    private boolean adopt(Term newTerm, EndpointName newPrimary, Duration now) {
        if (newTerm.equals(term) && isPrimary(newPrimary)) {
            return false;
        }
        term = newTerm;
        primary = Optional.of(newPrimary);
        backOffUntil = now;
        return true;
    }
}
