package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.EraRevision;

import static org.assertj.core.api.Assertions.assertThat;

class TermInheritanceTest {

    private static final long ERA = 3;
    private static final long FENCING_TOKEN = EraRevision.of(ERA, 0);

    /** The copy may not show the last promotions, so terms beyond the inherited one may have begun. */
    private static final long REQUESTED_TERM = 4 + PromotionRequests.UNRECORDED_REQUESTS;

    private static final EndpointName FIRST = EndpointName.of("e1");
    private static final EndpointName SECOND = EndpointName.of("e2");
    private static final Duration SINCE = Duration.ofSeconds(10);
    private static final Duration LATER = SINCE.plus(TermInheritance.PROOF_PERIOD);

    private static Optional<ProvenPrimary> proven(EndpointName primary, long term) {
        return Optional.of(new ProvenPrimary(primary, term, SINCE));
    }

    private static Optional<GroupTerm> inherited(TermPhase phase, EndpointName primary, long term) {
        return Optional.of(new GroupTerm(primary, term, phase, 7));
    }

    private static Optional<GroupTerm> record(Optional<GroupTerm> inherited, Optional<ProvenPrimary> proven) {
        return TermInheritance.termToRecord(ERA, inherited, proven, Optional.empty(), SINCE, SINCE);
    }

    @Test
    void confirmedPrimaryContinues() {
        assertThat(record(inherited(TermPhase.OPEN, FIRST, 4), proven(FIRST, 4)))
                .contains(GroupTerm.open(FIRST, 4, FENCING_TOKEN));
        assertThat(record(Optional.empty(), proven(FIRST, 4))).contains(GroupTerm.open(FIRST, 4, FENCING_TOKEN));
    }

    @Test
    void primaryOfALaterTermThanTheCopyContinues() {
        assertThat(record(inherited(TermPhase.OPEN, FIRST, 4), proven(SECOND, 5)))
                .contains(GroupTerm.open(SECOND, 5, FENCING_TOKEN));
    }

    @Test
    void reportsFromBeforeTheNewEraProveNothing() {
        Optional<ProvenPrimary> old = Optional.of(new ProvenPrimary(FIRST, 4, SINCE.minusMillis(1)));
        assertThat(record(inherited(TermPhase.OPEN, FIRST, 4), old)).isEmpty();
    }

    @Test
    void unconfirmedPrimaryIsReplaced() {
        Optional<GroupTerm> open = inherited(TermPhase.OPEN, FIRST, 4);
        assertThat(TermInheritance.termToRecord(
                        ERA, open, Optional.empty(), Optional.empty(), SINCE, LATER.minusMillis(1)))
                .isEmpty();
        assertThat(TermInheritance.termToRecord(ERA, open, Optional.empty(), Optional.empty(), SINCE, LATER))
                .contains(new GroupTerm(FIRST, 4, TermPhase.CLOSING, FENCING_TOKEN, REQUESTED_TERM));
    }

    /** Guards against a needless failover because an endpoint has restarted shortly before the return. */
    @Test
    void primaryThatAllReportIsGivenTheTimeUntilTheirConnectionsAreOldEnough() {
        Optional<GroupTerm> open = inherited(TermPhase.OPEN, FIRST, 4);
        Duration end = SINCE.plus(TermInheritance.AGEING_PERIOD);
        assertThat(TermInheritance.termToRecord(
                        ERA, open, Optional.empty(), proven(SECOND, 5), SINCE, end.minusMillis(1)))
                .isEmpty();
        assertThat(TermInheritance.termToRecord(ERA, open, Optional.empty(), proven(SECOND, 5), SINCE, end))
                .contains(new GroupTerm(FIRST, 4, TermPhase.CLOSING, FENCING_TOKEN, REQUESTED_TERM));
    }

    /** Guards against waiting for a primary that an unfinished promotion may still replace. */
    @Test
    void reportedPrimaryOfAnEarlierTermIsNotWaitedFor() {
        Optional<GroupTerm> open = inherited(TermPhase.OPEN, FIRST, 4);
        assertThat(TermInheritance.termToRecord(ERA, open, Optional.empty(), proven(SECOND, 3), SINCE, LATER))
                .contains(new GroupTerm(FIRST, 4, TermPhase.CLOSING, FENCING_TOKEN, REQUESTED_TERM));
    }

    /** Guards against an old primary that continues although a promotion may still take effect. */
    @Test
    void requestedPromotionIsCompletedFirst() {
        Optional<GroupTerm> promoting = inherited(TermPhase.PROMOTING, SECOND, 4);
        assertThat(record(promoting, proven(FIRST, 4))).isEmpty();
        assertThat(TermInheritance.termToRecord(ERA, promoting, proven(FIRST, 4), Optional.empty(), SINCE, LATER))
                .contains(new GroupTerm(SECOND, 4, TermPhase.PROMOTING, FENCING_TOKEN, REQUESTED_TERM));
        assertThat(record(promoting, proven(SECOND, 5))).contains(GroupTerm.open(SECOND, 5, FENCING_TOKEN));
    }

    @Test
    void groupOfWhichNothingIsKnownWaitsForProof() {
        assertThat(TermInheritance.termToRecord(
                        ERA, Optional.empty(), Optional.empty(), Optional.empty(), SINCE, LATER))
                .isEmpty();
    }
}
