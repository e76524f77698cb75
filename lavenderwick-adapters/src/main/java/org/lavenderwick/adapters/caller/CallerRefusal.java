package org.lavenderwick.adapters.caller;

import java.util.Optional;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * Answer to a request that was refused or failed.
 *
 * @param failure what failed
 * @param session a fresh session token to continue with, where the old one is of no use any more
 */
public record CallerRefusal(Failure failure, Optional<String> session) {
    /** Returns a refusal without a session token. */
    public static CallerRefusal of(Failure failure) {
        return new CallerRefusal(failure, Optional.empty());
    }

    /** Returns a refusal of the given kind without a session token. */
    public static CallerRefusal of(ErrorKind kind, String detail) {
        return of(Failure.of(kind, detail));
    }
}
