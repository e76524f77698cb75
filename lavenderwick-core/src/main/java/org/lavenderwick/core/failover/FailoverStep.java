package org.lavenderwick.core.failover;

/** The steps of a {@link FailoverRun}, in their order. */
enum FailoverStep {
    ACQUIRE_LOCK("take_duty"),
    CLOSE_TERM("close"),
    REVOKE_LEASES("end_lease"),
    CHECK_CANDIDATE("check_candidate"),
    REQUEST_PROMISES("vote"),
    AWAIT_EXPIRY("wait"),
    CHOOSE_CANDIDATE("choose"),
    PROMOTE("promote"),
    CONFIRM("confirm"),
    OPEN_TERM("open"),
    FINISHED("finished");

    private final String logName;

    FailoverStep(String logName) {
        this.logName = logName;
    }

    /** Returns the name of the step in log lines. */
    String logName() {
        return logName;
    }
}
