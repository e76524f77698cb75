package org.lavenderwick.core.failover;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

class PromotionRequestsTest {

    private static final EndpointName FIRST = EndpointName.of("e1");
    private static final EndpointName SECOND = EndpointName.of("e2");
    private static final GroupTerm OPEN = GroupTerm.open(FIRST, 4, 7);
    private static final GroupTerm PROMOTING = OPEN.withPhase(TermPhase.PROMOTING, SECOND, 8);

    private static PromotionRequests after(GroupTerm found) {
        PromotionRequests requests = PromotionRequests.none();
        requests.continueAfter(found);
        return requests;
    }

    /** Guards against promises that prove nothing, because a request has begun their term at another endpoint. */
    @Nested
    class HighestTerm {

        @Test
        void isTheClosedTermWithoutRequests() {
            PromotionRequests requests = after(OPEN);
            assertThat(requests.mayHaveBegunTerm()).isFalse();
            assertThat(requests.nextTerm(5)).isEqualTo(5);
        }

        @Test
        void growsWithEachRequest() {
            PromotionRequests requests = after(OPEN);
            requests.onRecorded(SECOND, requests.nextTerm(5));
            assertThat(requests.highestTerm()).isEqualTo(5);
            requests.onRecorded(SECOND, requests.nextTerm(5));
            assertThat(requests.highestTerm()).isEqualTo(6);
        }

        /** Guards against a candidate that is kept although the failover that chose it has ended meanwhile. */
        @Test
        void isThatOfTheRecordIfItIsReadAgain() {
            PromotionRequests requests = after(PROMOTING);
            requests.continueAfter(OPEN);
            assertThat(requests.highestTerm()).isEqualTo(4);
            assertThat(requests.latestCandidate()).isEmpty();
        }

        @Test
        void includesRequestsOfEarlierRuns() {
            assertThat(after(PROMOTING.withRequestedTerm(6)).highestTerm()).isEqualTo(6);
        }

        @Test
        void isFarAboveTheClosedTermIfEarlierRequestsWereNotCounted() {
            PromotionRequests requests = after(PROMOTING);
            assertThat(requests.highestTerm()).isEqualTo(4 + PromotionRequests.UNRECORDED_REQUESTS);
            assertThat(requests.isLatestKnown()).isFalse();
        }
    }

    /** Guards against a request that is sent although the record does not count it. */
    @Nested
    class NextRequest {

        private final PromotionRequests requests = after(OPEN);

        @Test
        void mustBeRecorded() {
            assertThat(requests.isNextRecorded()).isFalse();
            requests.onRecorded(SECOND, 5);
            assertThat(requests.isNextRecorded()).isTrue();
            requests.onAnswer(Either.right(PromotionAnswer.ACCEPTED));
            assertThat(requests.isNextRecorded()).isFalse();
        }

        @Test
        void staysRecordedIfThePlatformWasTooBusy() {
            requests.onRecorded(SECOND, 5);
            requests.onAnswer(Either.right(PromotionAnswer.BUSY));
            assertThat(requests.isNextRecorded()).isTrue();
        }
    }

    /** Guards against the old primary being confirmed while another endpoint leads a later term. */
    @Nested
    class LowestConfirmingTerm {

        @Test
        void isTheClosedTermIfOnlyItsPrimaryWasRequested() {
            PromotionRequests requests = after(OPEN);
            requests.onRecorded(FIRST, 5);
            assertThat(requests.lowestConfirmingTerm()).isEqualTo(4);
        }

        @Test
        void isALaterOneOnceAnotherCandidateWasRequested() {
            PromotionRequests requests = after(OPEN);
            requests.onRecorded(SECOND, 5);
            requests.onRecorded(FIRST, 6);
            assertThat(requests.lowestConfirmingTerm()).isEqualTo(5);
            assertThat(after(PROMOTING).lowestConfirmingTerm()).isEqualTo(5);
        }
    }
}
