package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.TermStart;

import static org.assertj.core.api.Assertions.assertThat;

class KnownPrimaryTest {
    private static final EndpointName OLD = EndpointName.of("old");
    private static final EndpointName NEW = EndpointName.of("new");
    private static final Duration NOW = Duration.ofSeconds(1);

    private final KnownPrimary known = new KnownPrimary();

    private static GroupRecord record(long term, EndpointName primary, GroupState state) {
        return new GroupRecord(
                Term.of(term),
                primary,
                state,
                List.of(new TermStart(Term.of(term), 0)),
                0,
                "op-" + term + state,
                false,
                Optional.empty());
    }

    private static EndpointStatus status(EndpointName endpoint, long term, long promisedTerm, boolean primary) {
        return new EndpointStatus(
                endpoint, primary, Term.of(term), Term.of(promisedTerm), LogPoint.of(term, 1), Instant.EPOCH, 0);
    }

    @Test
    void olderTermDoesNotReplaceNewerTerm() {
        known.applyRecord(record(2, NEW, GroupState.OPEN), NOW);
        assertThat(known.applyRecord(record(1, OLD, GroupState.OPEN), NOW)).isFalse();
        assertThat(known.applyStatus(status(OLD, 1, 1, true), NOW)).isFalse();
        assertThat(known.primary()).contains(NEW);
        assertThat(known.term()).isEqualTo(Term.of(2));
    }

    @Test
    void candidateBecomesPrimaryOnlyByOpenTermOrItsOwnStatus() {
        known.applyRecord(record(1, OLD, GroupState.OPEN), NOW);
        assertThat(known.applyRecord(record(2, NEW, GroupState.PROMOTING), NOW)).isFalse();
        assertThat(known.primary()).contains(OLD);
        assertThat(known.applyStatus(status(NEW, 2, 2, true), NOW)).isTrue();
        assertThat(known.primary()).contains(NEW);
    }

    @Test
    void endpointThatPromisedNewerTermIsNotPrimary() {
        assertThat(known.applyStatus(status(OLD, 1, 2, true), NOW)).isFalse();
        assertThat(known.primary()).isEmpty();
    }

    @Test
    void backOffAppliesToTheRejectedTermOnly() {
        known.applyRecord(record(2, NEW, GroupState.OPEN), NOW);
        known.backOff(Term.of(1), NOW.plusSeconds(9));
        assertThat(known.isUsable(NOW)).isTrue();
        known.backOff(Term.of(2), NOW.plusSeconds(9));
        assertThat(known.isUsable(NOW)).isFalse();
        known.applyRecord(record(3, OLD, GroupState.OPEN), NOW);
        assertThat(known.isUsable(NOW)).isTrue();
    }
}
