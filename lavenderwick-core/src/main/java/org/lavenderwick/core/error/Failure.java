package org.lavenderwick.core.error;

/**
 * The reason why a request or an internal call failed.
 *
 * @param kind kind of the error, which determines the response
 * @param detail description for people, one sentence; sent to callers
 */
public record Failure(ErrorKind kind, String detail) {

    /** Returns a failure of the given kind. */
    public static Failure of(ErrorKind kind, String detail) {
        return new Failure(kind, detail);
    }
}
