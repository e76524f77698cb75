package org.lavenderwick.core.scheduling;

import java.time.Duration;

/** The decision on an arriving operation. */
public sealed interface AdmissionDecision {

    /** The operation waits for a slot. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The operation is rejected and has not run.
     *
     * @param reason why it is rejected
     * @param retryAfter time after which room is expected, spread so that callers do not return together
     */
    record Rejected(Reason reason, Duration retryAfter) implements AdmissionDecision {}

    /** Why an operation is rejected. */
    enum Reason {
        /** It would finish after its deadline. */
        DEADLINE("it would finish after its deadline"),
        /** It would be late and take slots from operations that can be in time. */
        DISPLACES("it would be late and delay others that can be in time");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the reason as part of a sentence. */
        public String text() {
            return text;
        }
    }
}
