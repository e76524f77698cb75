package org.lavenderwick.core.error;

/**
 * Why a request or a call failed.
 *
 * @param kind the error kind, which fixes the answer
 * @param detail one plain sentence for the reader of the answer
 */
public record Failure(ErrorKind kind, String detail) {

    /** Returns a failure of the given kind. */
    public static Failure of(ErrorKind kind, String detail) {
        return new Failure(kind, detail);
    }
}
