package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class TermRecordTest {

    private static final GroupName ORDERS = GroupName.of("orders");
    private static final GroupName LEDGER = GroupName.of("ledger");
    private static final EndpointName FIRST = EndpointName.of("e1");
    private static final EndpointName SECOND = EndpointName.of("e2");

    private static final TermRecord RECORD = new TermRecord(
            1, 7, Set.of(5L), Map.of(ORDERS, GroupTerm.open(FIRST, 3, 0), LEDGER, GroupTerm.open(SECOND, 1, 9)));

    @Nested
    class Text {

        @Test
        void isReadBack() {
            assertThat(TermRecordCodec.decode(TermRecordCodec.encode(RECORD)).get())
                    .isEqualTo(RECORD);
        }

        @Test
        void namesOnlyLaterErasThanTheFirst() {
            TermRecord later = new TermRecord(2, 7, Set.of(), RECORD.groups());
            assertThat(TermRecordCodec.encode(RECORD)).doesNotContain("era");
            assertThat(TermRecordCodec.decode(TermRecordCodec.encode(later)).get())
                    .isEqualTo(later);
        }

        /** Guards against a record that daemons of earlier versions reject, which expect five fields on each line. */
        @Test
        void namesMembersInTheFormOfAGroup() {
            TermRecord withMembers = RECORD.withMembership(
                    ORDERS, new GroupMembership(Set.of(FIRST, EndpointName.of("a,@b c")), Map.of(SECOND, 42L)));
            String text = TermRecordCodec.encode(withMembers);
            assertThat(TermRecordCodec.decode(text).get()).isEqualTo(withMembers);
            assertThat(text.lines().skip(1))
                    .allSatisfy(line -> assertThat(line.split(" ")).hasSize(5));
            assertThat(text).contains("orders#members a%2C%40b+c,e1,e2@42 0 CLOSING 0");
        }

        /** Guards against a takeover that does not know which terms earlier requests may have begun. */
        @Test
        void namesRequestedTermsInTheFormOfAGroup() {
            GroupTerm requested = GroupTerm.open(SECOND, 3, 9)
                    .withPhase(TermPhase.PROMOTING, SECOND, 11)
                    .withRequestedTerm(6);
            String text = TermRecordCodec.encode(RECORD.with(ORDERS, requested));
            assertThat(TermRecordCodec.decode(text).get().group(ORDERS)).contains(requested);
            assertThat(text.lines().skip(1))
                    .allSatisfy(line -> assertThat(line.split(" ")).hasSize(5));
            assertThat(text).contains("orders#requested e2 6 CLOSING 0");
        }

        /** Guards against promises for needlessly late terms after a daemon of an earlier version opened the term. */
        @Test
        void ignoresRequestedTermsOfAnOpenTerm() {
            assertThat(TermRecordCodec.decode("lease 1\norders e1 4 OPEN 9\norders#requested e1 6 CLOSING 0")
                            .get()
                            .group(ORDERS))
                    .contains(GroupTerm.open(FIRST, 4, 9));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "lease",
                    "lease 1\nera x",
                    "lease x",
                    "lease 1\norders e1",
                    "lease 1\norders e1 2 SHUT 0",
                    "x 1"
                })
        void isRejectedIfMalformed(String text) {
            assertThat(TermRecordCodec.decode(text).isLeft()).isTrue();
        }
    }

    @Nested
    class LeasesToRevoke {

        @Test
        void includeReplacedLeases() {
            assertThat(RECORD.withLease(8).leasesToRevoke()).containsExactlyInAnyOrder(5L, 7L);
        }

        @Test
        void excludeRevokedLeases() {
            assertThat(RECORD.withoutRevokedLeases(Set.of(5L)).leasesToRevoke()).isEmpty();
        }
    }

    @Nested
    class Evidence {

        private final LeaseEvidence evidence = LeaseEvidence.create();

        @Test
        void startsWithARenewal() {
            evidence.install(RECORD, 10);
            assertThat(evidence.view(ORDERS)).isEmpty();
            evidence.onRenewed(7, 1, Duration.ofMillis(50));
            assertThat(evidence.view(ORDERS)).contains(new ProvenPrimary(FIRST, 3, Duration.ofMillis(50)));
        }

        @Test
        void ignoresRenewalsOfOtherLeases() {
            evidence.install(RECORD, 10);
            evidence.onRenewed(6, 1, Duration.ofMillis(50));
            assertThat(evidence.views()).isEmpty();
        }

        @Test
        void isRemovedOnlyForGroupsWhoseTermIsClosed() {
            evidence.install(RECORD, 10);
            evidence.onRenewed(7, 1, Duration.ofMillis(50));
            TermRecord closing = RECORD.withLease(8)
                    .with(ORDERS, RECORD.group(ORDERS).get().withPhase(TermPhase.CLOSING, FIRST, 11));
            evidence.install(closing, 12);
            assertThat(evidence.view(ORDERS)).isEmpty();
            assertThat(evidence.view(LEDGER)).isPresent();
        }

        @Test
        void ignoresOlderRecords() {
            evidence.install(RECORD, 10);
            evidence.install(RECORD.with(ORDERS, GroupTerm.open(SECOND, 4, 0)), 9);
            evidence.onRenewed(7, 1, Duration.ZERO);
            assertThat(evidence.view(ORDERS).get().primary()).isEqualTo(FIRST);
        }
    }

    @Nested
    class LaterEra {

        private final LeaseEvidence evidence = LeaseEvidence.create();

        /** Guards against the record of a copy that names a primary which has been replaced since. */
        @Test
        void doesNotTakeOverTheRecordOfTheEraBefore() {
            evidence.install(RECORD, 10);
            evidence.onRenewed(7, 1, Duration.ofMillis(50));
            evidence.install(RECORD, EraRevision.of(2, 5));
            evidence.onRenewed(7, 2, Duration.ofMillis(60));
            assertThat(evidence.views()).isEmpty();
            assertThat(evidence.record()).isEqualTo(TermRecord.empty(2));
            assertThat(evidence.revision()).isEqualTo(EraRevision.of(2, 5));
            assertThat(evidence.inherited(ORDERS)).contains(RECORD.groups().get(ORDERS));
        }

        @Test
        void inheritsTheLatestTermOfTheCopyAndFromBefore() {
            GroupTerm promoted = GroupTerm.open(FIRST, 2, 12);
            evidence.install(RECORD.with(LEDGER, promoted), 13);
            evidence.install(RECORD, EraRevision.of(2, 5));
            assertThat(evidence.inherited(LEDGER)).contains(promoted);
        }

        @Test
        void ignoresRecordsOfTheEraBeforeThatArriveLate() {
            evidence.enterEra(2);
            evidence.install(RECORD, 1000);
            assertThat(evidence.record().groups()).isEmpty();
        }
    }

    @Nested
    class Confirmations {

        private final LeaseEvidence evidence = LeaseEvidence.create();
        private Duration time = Duration.ofMillis(1000);

        private Optional<LeaseConfirmation> confirm(Supplier<Duration> discardedUntil) {
            return evidence.confirmation(() -> time, discardedUntil);
        }

        @Test
        void stateTheAgeOfTheOwnRenewal() {
            evidence.install(RECORD, 10);
            assertThat(confirm(() -> Duration.ZERO)).isEmpty();
            evidence.onRenewed(7, 1, Duration.ofMillis(900));
            assertThat(confirm(() -> Duration.ZERO)).contains(new LeaseConfirmation(1, 7, Duration.ofMillis(100)));
        }

        @Test
        void areNotPassedOn() {
            evidence.install(RECORD, 10);
            evidence.onConfirmed(new LeaseConfirmation(1, 7, Duration.ZERO), Duration.ofMillis(990));
            assertThat(evidence.view(ORDERS)).isPresent();
            assertThat(confirm(() -> Duration.ZERO)).isEmpty();
        }

        @Test
        void countFromTheRequestLessTheAgeAndTheMargin() {
            evidence.install(RECORD, 10);
            evidence.onConfirmed(new LeaseConfirmation(1, 7, Duration.ofMillis(100)), Duration.ofMillis(990));
            assertThat(evidence.view(ORDERS).get().provenAt()).isEqualTo(Duration.ofMillis(990 - 100 - 150));
        }

        /** Guards against a suspension between the last check and the statement, which the stopped clock hides. */
        @Test
        void areNotGivenAfterASuspensionThatIsOnlyNoticedNow() {
            evidence.install(RECORD, 10);
            evidence.onRenewed(7, 1, Duration.ofMillis(900));
            assertThat(confirm(() -> time)).isEmpty();
        }

        /** Guards against an age taken from a time before the renewal: it would be negative. */
        @Test
        void readTheClockWhenTheyAreGiven() {
            evidence.install(RECORD, 10);
            Duration timeOfTheLoop = time;
            time = time.plusMillis(30);
            evidence.onRenewed(7, 1, timeOfTheLoop.plusMillis(20));
            assertThat(confirm(() -> Duration.ZERO).get().age()).isEqualTo(Duration.ofMillis(10));
            assertThatThrownBy(() -> new LeaseConfirmation(1, 7, timeOfTheLoop.minus(time)))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
