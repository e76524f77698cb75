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

    /** Term 4 starts at a lower position than term 3, whose primary failed before it replicated any entry. */
    private static final List<TermStart> STARTS =
            List.of(new TermStart(Term.of(2), 100), new TermStart(Term.of(3), 200), new TermStart(Term.of(4), 150));

    /**
     * Guards against a session that misses its own write after a failover, and against retained writes reported lost.
     */
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
    void writeIsRetainedUpToTheStartOfEveryLaterTerm(long term, long position, boolean retained) {
        assertThat(TermHistory.isRetained(LogPoint.of(term, position), STARTS)).isEqualTo(retained);
    }

    /** Guards against accepting a token of a term whose successor is no longer in the list of term starts. */
    @Test
    void pointOlderThanTheListIsLost() {
        List<TermStart> recent = STARTS.subList(1, 3);
        assertThat(TermHistory.isRetained(LogPoint.of(2, 150), recent)).isTrue();
        assertThat(TermHistory.isRetained(LogPoint.of(1, 10), recent)).isFalse();
        assertThat(TermHistory.isRetained(LogPoint.of(1, 10), List.of())).isTrue();
    }

    /** Guards against a replica on a diverged log, which has the position but a different entry. */
    @ParameterizedTest
    @CsvSource({"2,150,2,150,true", "2,149,2,150,false", "3,150,2,150,true", "1,400,2,150,false"})
    void endpointCoversAPointOnlyInTheSameOrALaterTerm(
            long endpointTerm, long endpointPosition, long term, long position, boolean covered) {
        assertThat(TermHistory.covers(LogPoint.of(endpointTerm, endpointPosition), LogPoint.of(term, position)))
                .isEqualTo(covered);
    }
}
