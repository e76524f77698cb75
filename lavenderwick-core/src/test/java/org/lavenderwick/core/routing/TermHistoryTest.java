package org.lavenderwick.core.routing;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.TermStart;

import static org.assertj.core.api.Assertions.assertThat;

class TermHistoryTest {

    /** Term 4 began below the start of term 3: the candidate of term 3 died before it replicated anything. */
    private static final List<TermStart> STARTS =
            List.of(new TermStart(Term.of(2), 100), new TermStart(Term.of(3), 200), new TermStart(Term.of(4), 150));

    /** Guards against a session that misses its own write after a failover, and against false alarms. */
    @ParameterizedTest
    @CsvSource({
        "1,100,true",
        "1,101,false",
        "2,150,true",
        "2,151,false",
        "2,200,false",
        "3,150,true",
        "3,201,false",
        "4,900,true",
        "5,900,true",
        "0,0,true"
    })
    void aWriteSurvivesUpToTheStartOfEveryLaterTerm(long term, long position, boolean survives) {
        assertThat(TermHistory.isRetained(LogPoint.of(term, position), STARTS)).isEqualTo(survives);
    }

    /** Guards against trust in a token whose next terms are no longer listed. */
    @Test
    void aPointOlderThanTheListIsLost() {
        List<TermStart> recent = STARTS.subList(1, 3);
        assertThat(TermHistory.isRetained(LogPoint.of(2, 150), recent)).isTrue();
        assertThat(TermHistory.isRetained(LogPoint.of(1, 10), recent)).isFalse();
        assertThat(TermHistory.isRetained(LogPoint.of(1, 10), List.of())).isTrue();
    }

    /** Guards against a replica on another branch that has the position but not the entry. */
    @ParameterizedTest
    @CsvSource({"2,150,2,150,true", "2,149,2,150,false", "3,150,2,150,true", "1,400,2,150,false"})
    void anEndpointCoversAPointOnlyInTheSameOrALaterTerm(
            long endpointTerm, long endpointPosition, long term, long position, boolean covers) {
        assertThat(TermHistory.covers(LogPoint.of(endpointTerm, endpointPosition), LogPoint.of(term, position)))
                .isEqualTo(covers);
    }
}
