package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;

class PromotionCoordinatorTest {

    private static final EndpointName E1 = EndpointName.of("e1");
    private static final EndpointName E2 = EndpointName.of("e2");
    private static final EndpointName E3 = EndpointName.of("e3");
    private static final GroupRecord OPEN =
            new GroupRecord(Term.of(1), E1, GroupState.OPEN, List.of(), 3, "earlier", false, Optional.empty());

    private final PromotionCoordinator coordinator =
            PromotionCoordinator.create("daemon-1", List.of(E1, E2, E3), PromotionTimings.DEFAULT, new Random(1));
    private final List<PromotionAction> actions = new ArrayList<>();
    private Duration now = Duration.ofSeconds(100);

    private <T extends PromotionAction> T last(Class<T> type) {
        return actions.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private void after(long millis) {
        now = now.plusMillis(millis);
        actions.clear();
    }

    private void sealAccepted(EndpointName endpoint, long position) {
        Term next = last(PromotionAction.Seal.class).term();
        EndpointReport report =
                new EndpointReport(endpoint, false, Term.of(1), next, LogPoint.of(1, position), Instant.EPOCH, 0);
        actions.addAll(coordinator.onEndpointResponse(new PromotionAction.Seal(endpoint, next, now), report, now));
    }

    private void read(GroupRecord record, long revision) {
        actions.addAll(coordinator.onRecordRead(
                last(PromotionAction.ReadRecord.class).call(), Optional.of(record), revision, now));
    }

    private GroupRecord accept(long revision) {
        PromotionAction.WriteRecord write = last(PromotionAction.WriteRecord.class);
        actions.addAll(coordinator.onWriteAccepted(write.call(), revision, now));
        return write.record();
    }

    @BeforeEach
    void acquireLease() {
        actions.addAll(coordinator.start(new PromotionRequest.Unplanned(Term.of(1)), now));
        actions.addAll(coordinator.onLeaseGranted(
                last(PromotionAction.AcquireLease.class).call(), 7, now));
    }

    private void closeTerm() {
        read(OPEN, 10);
        assertThat(accept(11).state()).isEqualTo(GroupState.CLOSING);
    }

    private void promoteMostAdvanced() {
        closeTerm();
        sealAccepted(E2, 5);
        sealAccepted(E3, 6);
        after(PromotionTimings.DEFAULT.sealWait().toMillis() + 1);
        actions.addAll(coordinator.tick(now));
        sealAccepted(E2, 5);
        sealAccepted(E3, 6);
        GroupRecord promoting = accept(12);
        assertThat(promoting.primary()).isEqualTo(E3);
        assertThat(promoting.termStarts()).containsExactly(new TermStart(Term.of(2), 6));
    }

    /** Guards against choosing a candidate before the wait is over. The wait starts when a majority is sealed. */
    @Test
    void choosesOnlyAfterTheSealWait() {
        closeTerm();
        sealAccepted(E2, 5);
        after(1_000);
        actions.addAll(coordinator.tick(now));
        sealAccepted(E3, 6);
        after(1_602);
        actions.addAll(coordinator.tick(now));
        assertThat(actions).noneMatch(PromotionAction.WriteRecord.class::isInstance);
        after(2);
        actions.addAll(coordinator.tick(now));
        assertThat(actions).filteredOn(PromotionAction.Seal.class::isInstance).hasSize(3);
    }

    @Test
    void opensTheTermThatTheCandidateServes() {
        promoteMostAdvanced();
        EndpointReport report =
                new EndpointReport(E3, true, Term.of(2), Term.of(2), LogPoint.of(1, 6), Instant.EPOCH, 0);
        actions.addAll(coordinator.onEndpointResponse(last(PromotionAction.Promote.class), report, now));
        assertThat(accept(13).state()).isEqualTo(GroupState.OPEN);
        assertThat(last(PromotionAction.Finished.class).outcome()).isEqualTo(PromotionOutcome.OPENED);
        assertThat(last(PromotionAction.ReleaseLease.class).fencingToken()).isEqualTo(7);
    }

    /** Guards against a second candidate for a term when the first one may have become primary. */
    @Test
    void closesTheTermOfAnUnresponsiveCandidate() {
        promoteMostAdvanced();
        after(PromotionTimings.DEFAULT.promoteLimit().toMillis());
        actions.addAll(coordinator.tick(now));
        GroupRecord closing = accept(13);
        assertThat(closing.state()).isEqualTo(GroupState.CLOSING);
        assertThat(closing.term()).isEqualTo(Term.of(2));
        assertThat(last(PromotionAction.Seal.class).term()).isEqualTo(Term.of(3));
    }

    /** Guards against a coordinator that continues after a pause although its lease has expired. */
    @Test
    void changesNothingAfterItsLeaseExpired() {
        closeTerm();
        after(5_000);
        acceptUnsentSeals();
        actions.addAll(coordinator.tick(now.plusSeconds(1)));
        assertThat(actions)
                .allMatch(action ->
                        action instanceof PromotionAction.AcquireLease || action instanceof PromotionAction.WakeAt);
        assertThat(actions).anyMatch(PromotionAction.AcquireLease.class::isInstance);
    }

    private void acceptUnsentSeals() {
        for (EndpointName endpoint : List.of(E2, E3)) {
            EndpointReport report =
                    new EndpointReport(endpoint, false, Term.of(1), Term.of(2), LogPoint.of(1, 5), Instant.EPOCH, 0);
            actions.addAll(
                    coordinator.onEndpointResponse(new PromotionAction.Seal(endpoint, Term.of(2), now), report, now));
        }
    }

    /** Guards against treating a write without a response as failed, and against a new decision while it is pending. */
    @Test
    void resolvesALostResponseByReading() {
        read(OPEN, 10);
        PromotionAction.WriteRecord write = last(PromotionAction.WriteRecord.class);
        actions.addAll(coordinator.onPlatformCallFailed(write.call(), now));
        after(100);
        actions.addAll(coordinator.tick(now));
        read(OPEN, 10);
        PromotionAction.WriteRecord again = last(PromotionAction.WriteRecord.class);
        assertThat(again.record()).isEqualTo(write.record());
        assertThat(again.expectedRevision()).isEqualTo(10);
        actions.addAll(coordinator.onWriteConflicted(again.call(), now));
        read(write.record(), 11);
        assertThat(actions).filteredOn(PromotionAction.Seal.class::isInstance).hasSize(3);
    }

    /** Guards against resuming a promotion without fencing the coordinator that last wrote the record. */
    @Test
    void claimsAnUnfinishedPromotionBeforeItContinues() {
        GroupRecord closing = RecordTransitions.close(OPEN, false, Optional.empty(), 6, "daemon-2/1");
        read(closing, 10);
        assertThat(actions).noneMatch(PromotionAction.Seal.class::isInstance);
        GroupRecord claimed = accept(11);
        assertThat(claimed.fencingToken()).isEqualTo(7);
        assertThat(claimed.state()).isEqualTo(GroupState.CLOSING);
        assertThat(actions).anyMatch(PromotionAction.Seal.class::isInstance);
    }

    /** Guards against overwriting a record written by a coordinator with a later lease. */
    @Test
    void doesNotOverwriteARecordWithAHigherToken() {
        read(RecordTransitions.claim(OPEN, 8, "daemon-2/1"), 10);
        assertThat(actions).noneMatch(PromotionAction.WriteRecord.class::isInstance);
    }

    /** Guards against a second promotion after another coordinator has replaced the suspected primary. */
    @Test
    void doesNothingIfTheSuspectedTermIsOver() {
        read(new GroupRecord(Term.of(2), E2, GroupState.OPEN, List.of(), 5, "other", false, Optional.empty()), 10);
        assertThat(last(PromotionAction.Finished.class).outcome()).isEqualTo(PromotionOutcome.NOT_NEEDED);
    }

    /** Guards against a list of term starts that grows without bound or loses a start that truncates a log. */
    @Test
    void keepsTheStartsThatTruncateALog() {
        GroupRecord record = RecordTransitions.claim(OPEN, 7, "operation");
        for (int i = 0; i < 200; i++) {
            long start = i < 2 ? i : 100;
            record = RecordTransitions.promote(record, new CandidateChoice(E1, start, false), 7, "operation");
        }
        assertThat(record.termStarts()).hasSize(RecordTransitions.MAX_TERM_STARTS);
        assertThat(RecordTransitions.survivingPoint(LogPoint.of(1, 50), record.termStarts()))
                .isEqualTo(LogPoint.of(1, 0));
        assertThat(RecordTransitions.survivingPoint(LogPoint.of(2, 50), record.termStarts()))
                .isEqualTo(LogPoint.of(2, 1));
        assertThat(RecordTransitions.survivingPoint(LogPoint.of(50, 150), record.termStarts())
                        .position())
                .isEqualTo(100);
    }
}
