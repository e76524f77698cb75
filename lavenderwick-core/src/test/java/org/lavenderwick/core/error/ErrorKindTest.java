package org.lavenderwick.core.error;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ErrorKindTest {

    /** Guards against an error kind that declares a retry safe although the request may have been executed. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void retryIsSafeOnlyIfTheRequestWasNotExecuted(ErrorKind kind) {
        if (kind.retryability() == Retryability.SAFE) {
            assertThat(kind.execution()).isEqualTo(Execution.NOT_RUN);
        }
    }

    /** Guards against an error kind that reports an unknown outcome with the HTTP status of a rejection. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void unknownOutcomeNeverHasTheStatusOfARejection(ErrorKind kind) {
        if (kind.execution() == Execution.UNKNOWN) {
            assertThat(kind.httpStatus()).isIn(500, 504);
        }
    }
}
