package org.lavenderwick.daemon.group;

import java.util.Optional;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/**
 * Work that was refused or failed.
 *
 * @param failure why
 * @param point for a lost write of the session, the point from which it can continue
 */
public record WorkFailure(Failure failure, Optional<LogPoint> point) {
    /** Returns a failure without a point. */
    public static WorkFailure of(Failure failure) {
        return new WorkFailure(failure, Optional.empty());
    }

    /** Returns a failure of the given kind without a point. */
    public static WorkFailure of(ErrorKind kind, String detail) {
        return of(Failure.of(kind, detail));
    }
}
