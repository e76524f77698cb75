package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class TermEvidenceTest {

    private static final EndpointName E1 = EndpointName.of("e1");
    private static final EndpointName E2 = EndpointName.of("e2");
    private static final EndpointName E3 = EndpointName.of("e3");
    private static final Term T = Term.of(4);

    private final TermEvidence evidence = TermEvidence.create(List.of(E1, E2, E3), PromotionTimings.DEFAULT);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static GroupRecord record(Term term, GroupState state) {
        return new GroupRecord(term, E1, state, List.of(), 1, "operation", false, Optional.empty());
    }

    @Nested
    class Votes {

        /** Guards against counting the age from the newest vote, or from the answer instead of the question. */
        @Test
        void countFromTheOldestQuestionOfTheBestMajority() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E2, T, ms(200));
            evidence.recordEndpointResponse(E3, T, ms(300));
            assertThat(evidence.validUntil(T)).contains(ms(1_700));
            assertThat(evidence.mayAcknowledge(T, ms(1_700))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_700).plusNanos(1))).isFalse();
        }

        /** Guards against a primary that alone is taken for a majority, and against strangers that vote. */
        @Test
        void oneVoteAndOneOfAnotherGroupAreNoMajority() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E1, T, ms(200));
            evidence.recordEndpointResponse(EndpointName.of("other"), T, ms(200));
            assertThat(evidence.mayAcknowledge(T, ms(200))).isFalse();
        }

        /** Guards against a vote for a term that the endpoint has promised to see replaced. */
        @Test
        void ofSealedEndpointsDoNotCountEvenIfAnOlderAnswerComesLater() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E2, T.next(), ms(100));
            evidence.recordEndpointResponse(E2, T, ms(150));
            assertThat(evidence.mayAcknowledge(T, ms(200))).isFalse();
            assertThat(evidence.mayAcknowledge(T.next(), ms(200))).isTrue();
        }

        /** Guards against work that a planned change of primary cuts off because a seal ends valid evidence early. */
        @Test
        void beforeASealCountForTheirFullLifeAndNoLonger() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E2, T, ms(200));
            evidence.recordEndpointResponse(E1, T.next(), ms(400));
            evidence.recordEndpointResponse(E2, T.next(), ms(400));
            evidence.recordEndpointResponse(E3, T.next(), ms(400));
            assertThat(evidence.mayAcknowledge(T, ms(1_600))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_601))).isFalse();
        }

        /** Guards against the same with the platform as the source, and against a life that the end renews. */
        @Test
        void ofThePlatformBeforeTheRecordClosesCountForTheirFullLifeAndNoLonger() {
            evidence.recordPlatformResponse(record(T, GroupState.OPEN), ms(100));
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(400));
            assertThat(evidence.mayAcknowledge(T, ms(1_600))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_601))).isFalse();
        }

        /** Guards against evidence that a late answer to an old question shortens. */
        @Test
        void keepTheNewestQuestion() {
            evidence.recordEndpointResponse(E1, T, ms(900));
            evidence.recordEndpointResponse(E2, T, ms(900));
            evidence.recordEndpointResponse(E2, T, ms(100));
            assertThat(evidence.validUntil(T)).contains(ms(2_400));
        }
    }

    @Nested
    class PlatformAnswers {

        @Test
        void openRecordIsSufficientForItsTermOnly() {
            evidence.recordPlatformResponse(record(T, GroupState.OPEN), ms(100));
            assertThat(evidence.mayAcknowledge(T, ms(1_600))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_601))).isFalse();
            assertThat(evidence.mayAcknowledge(T.next(), ms(100))).isFalse();
            assertThat(evidence.mayAcknowledge(Term.of(3), ms(100))).isFalse();
        }

        /** Guards against evidence from a record whose term is being closed or only tried. */
        @Test
        void closingAndPromotingRecordsGiveNone() {
            evidence.recordPlatformResponse(record(T, GroupState.PROMOTING), ms(100));
            assertThat(evidence.mayAcknowledge(T, ms(100))).isFalse();
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(100));
            assertThat(evidence.mayAcknowledge(T, ms(100))).isFalse();
        }

        /** Guards against an open record that is read late and revives a term known to be closed. */
        @Test
        void lateOpenRecordDoesNotReviveAClosedTerm() {
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(100));
            evidence.recordPlatformResponse(record(T, GroupState.OPEN), ms(200));
            assertThat(evidence.mayAcknowledge(T, ms(200))).isFalse();
        }
    }

    @Nested
    class Questions {

        /** Guards against platform reads for groups whose endpoints answer, and against floods of questions. */
        @Test
        void goToTheEndpointsFirstAndToThePlatformWhenTheyDoNotHelp() {
            assertThat(evidence.dueRequests(T, ms(0)).endpoints()).containsExactlyInAnyOrder(E1, E2, E3);
            assertThat(evidence.dueRequests(T, ms(10))).isEqualTo(EvidenceRequests.NONE);
            assertThat(evidence.dueRequests(T, ms(60))).isEqualTo(new EvidenceRequests(true, Set.of()));
            assertThat(evidence.dueRequests(T, ms(210)).endpoints()).hasSize(3);
        }

        private EvidenceRequests due(long millis) {
            return evidence.dueRequests(T, ms(millis));
        }

        /** Guards against idle polling while evidence is fresh, and against renewing it too late. */
        @Test
        void renewInTheLastThirdOfTheLife() {
            evidence.recordEndpointResponse(E1, T, ms(0));
            evidence.recordEndpointResponse(E2, T, ms(0));
            assertThat(due(999)).isEqualTo(EvidenceRequests.NONE);
            assertThat(due(1_000).endpoints()).containsExactlyInAnyOrder(E1, E2, E3);
        }

        /** Guards against questions to endpoints that can never vote for the term again. */
        @Test
        void skipWhatIsPastTheTerm() {
            evidence.recordEndpointResponse(E1, T.next(), ms(0));
            evidence.recordEndpointResponse(E2, T.next(), ms(0));
            assertThat(due(1)).isEqualTo(new EvidenceRequests(true, Set.of(E3)));
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(2));
            assertThat(due(500).platform()).isFalse();
        }
    }

    /** Guards against a group listed with an endpoint twice, whose majority one endpoint could make. */
    @Test
    void rejectsADoubledEndpoint() {
        assertThatThrownBy(() -> TermEvidence.create(List.of(E1, E1), PromotionTimings.DEFAULT))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
