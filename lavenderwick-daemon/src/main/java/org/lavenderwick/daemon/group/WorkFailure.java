package org.lavenderwick.daemon.group;

import java.util.Optional;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/**
 * The failure of a request that was rejected or did not succeed.
 *
 * @param failure the kind of failure and its details
 * @param point the log point from which the session can continue, if one of its writes was lost; empty otherwise
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
