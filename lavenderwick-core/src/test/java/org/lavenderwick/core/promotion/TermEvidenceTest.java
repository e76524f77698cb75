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
    class EndpointResponses {

        /** Guards against counting the age from the newest response, or from the response instead of its request. */
        @Test
        void countFromTheOldestRequestOfTheNewestMajority() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E2, T, ms(200));
            evidence.recordEndpointResponse(E3, T, ms(300));
            assertThat(evidence.validUntil(T)).contains(ms(1_700));
            assertThat(evidence.mayAcknowledge(T, ms(1_700))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_700).plusNanos(1))).isFalse();
        }

        /** Guards against counting the primary alone as a majority, and against counting endpoints of other groups. */
        @Test
        void ofOneEndpointAndOneOfAnotherGroupAreNoMajority() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E1, T, ms(200));
            evidence.recordEndpointResponse(EndpointName.of("other"), T, ms(200));
            assertThat(evidence.mayAcknowledge(T, ms(200))).isFalse();
        }

        /** Guards against evidence for a term from an endpoint that has promised a later term. */
        @Test
        void ofSealedEndpointsDoNotCountEvenIfALowerPromiseArrivesLater() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E2, T.next(), ms(100));
            evidence.recordEndpointResponse(E2, T, ms(150));
            assertThat(evidence.mayAcknowledge(T, ms(200))).isFalse();
            assertThat(evidence.mayAcknowledge(T.next(), ms(200))).isTrue();
        }

        /** Guards against a seal that invalidates evidence early, so that a switchover interrupts writes in flight. */
        @Test
        void beforeASealCountUntilTheirMaximumAge() {
            evidence.recordEndpointResponse(E1, T, ms(100));
            evidence.recordEndpointResponse(E2, T, ms(200));
            evidence.recordEndpointResponse(E1, T.next(), ms(400));
            evidence.recordEndpointResponse(E2, T.next(), ms(400));
            evidence.recordEndpointResponse(E3, T.next(), ms(400));
            assertThat(evidence.mayAcknowledge(T, ms(1_600))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_601))).isFalse();
        }

        /** Guards against a closing record that invalidates evidence early, and against one that renews it. */
        @Test
        void ofThePlatformBeforeTheRecordClosesCountUntilTheirMaximumAge() {
            evidence.recordPlatformResponse(record(T, GroupState.OPEN), ms(100));
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(400));
            assertThat(evidence.mayAcknowledge(T, ms(1_600))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_601))).isFalse();
        }

        /** Guards against a late response to an old request that shortens the validity of evidence. */
        @Test
        void keepTheNewestSendTime() {
            evidence.recordEndpointResponse(E1, T, ms(900));
            evidence.recordEndpointResponse(E2, T, ms(900));
            evidence.recordEndpointResponse(E2, T, ms(100));
            assertThat(evidence.validUntil(T)).contains(ms(2_400));
        }
    }

    @Nested
    class PlatformResponses {

        @Test
        void openRecordIsSufficientForItsTermOnly() {
            evidence.recordPlatformResponse(record(T, GroupState.OPEN), ms(100));
            assertThat(evidence.mayAcknowledge(T, ms(1_600))).isTrue();
            assertThat(evidence.mayAcknowledge(T, ms(1_601))).isFalse();
            assertThat(evidence.mayAcknowledge(T.next(), ms(100))).isFalse();
            assertThat(evidence.mayAcknowledge(Term.of(3), ms(100))).isFalse();
        }

        /** Guards against evidence from a record whose term is closing or not yet open. */
        @Test
        void closingAndPromotingRecordsGiveNoEvidence() {
            evidence.recordPlatformResponse(record(T, GroupState.PROMOTING), ms(100));
            assertThat(evidence.mayAcknowledge(T, ms(100))).isFalse();
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(100));
            assertThat(evidence.mayAcknowledge(T, ms(100))).isFalse();
        }

        /** Guards against a stale open record that revives a term known to be closing. */
        @Test
        void lateOpenRecordDoesNotReviveAClosedTerm() {
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(100));
            evidence.recordPlatformResponse(record(T, GroupState.OPEN), ms(200));
            assertThat(evidence.mayAcknowledge(T, ms(200))).isFalse();
        }
    }

    @Nested
    class Requests {

        /** Guards against platform reads when the endpoints respond, and against repeating requests too often. */
        @Test
        void goToTheEndpointsFirstAndToThePlatformWithoutTheirResponses() {
            assertThat(evidence.dueRequests(T, ms(0)).endpoints()).containsExactlyInAnyOrder(E1, E2, E3);
            assertThat(evidence.dueRequests(T, ms(10))).isEqualTo(EvidenceRequests.NONE);
            assertThat(evidence.dueRequests(T, ms(60))).isEqualTo(new EvidenceRequests(true, Set.of()));
            assertThat(evidence.dueRequests(T, ms(210)).endpoints()).hasSize(3);
        }

        private EvidenceRequests due(long millis) {
            return evidence.dueRequests(T, ms(millis));
        }

        /** Guards against requests while evidence is fresh, and against renewing it too late. */
        @Test
        void renewInTheLastThirdOfTheValidity() {
            evidence.recordEndpointResponse(E1, T, ms(0));
            evidence.recordEndpointResponse(E2, T, ms(0));
            assertThat(due(999)).isEqualTo(EvidenceRequests.NONE);
            assertThat(due(1_000).endpoints()).containsExactlyInAnyOrder(E1, E2, E3);
        }

        /** Guards against requests to sources that can no longer give evidence for the term. */
        @Test
        void skipSourcesPastTheTerm() {
            evidence.recordEndpointResponse(E1, T.next(), ms(0));
            evidence.recordEndpointResponse(E2, T.next(), ms(0));
            assertThat(due(1)).isEqualTo(new EvidenceRequests(true, Set.of(E3)));
            evidence.recordPlatformResponse(record(T, GroupState.CLOSING), ms(2));
            assertThat(due(500).platform()).isFalse();
        }
    }

    /** Guards against a duplicate endpoint in a group, which would count twice toward the majority. */
    @Test
    void rejectsADuplicateEndpoint() {
        assertThatThrownBy(() -> TermEvidence.create(List.of(E1, E1), PromotionTimings.DEFAULT))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
