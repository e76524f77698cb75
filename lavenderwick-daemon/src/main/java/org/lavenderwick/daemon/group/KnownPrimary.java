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
 * The newest primary that an owner knows of, from group records and from answers of endpoints. A wrong belief costs
 * time only, because writes are acknowledged under term evidence. Confined to the event loop of the group.
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

    /** Returns whether work may be sent to the primary. */
    boolean isUsable(Duration now) {
        return primary.isPresent() && now.compareTo(backOffUntil) >= 0;
    }

    /** Takes a group record; returns whether a primary is newly known. */
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

    /** Takes the status of an endpoint; returns whether a primary is newly known. */
    boolean applyStatus(EndpointStatus status, Duration now) {
        boolean serves = status.primary() && !status.promisedTerm().isAfter(status.term());
        return serves && !term.isAfter(status.term()) && adopt(status.term(), status.endpoint(), now);
    }

    /** Sends no work to the primary of the given term until the given time or until a newer one is known. */
    void backOff(Term refusedTerm, Duration until) {
        if (refusedTerm.equals(term)) {
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
