package org.lavenderwick.core.error;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ErrorKindTest {

    /** Guards against a kind that invites a blind repeat of a request that may have run. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void repeatIsSafeOnlyWhenTheRequestDidNotRun(ErrorKind kind) {
        if (kind.retryability() == Retryability.SAFE) {
            assertThat(kind.execution()).isEqualTo(Execution.NOT_RUN);
        }
    }

    /** Guards against a kind that hides an unknown outcome behind a status for a refusal. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void unknownOutcomeNeverLooksLikeARefusal(ErrorKind kind) {
        if (kind.execution() == Execution.UNKNOWN) {
            assertThat(kind.httpStatus()).isIn(500, 504);
        }
    }
}
