package org.lavenderwick.core.statement;

import java.util.Optional;

import org.lavenderwick.core.admission.Access;

/**
 * One parsed statement of a caller.
 *
 * @param kind what the statement asks for
 * @param text the statement as the caller sent it
 * @param name the session value or prepared name it refers to; empty for other kinds
 * @param operand what follows the name: the value that is set, the shape that is prepared, or the arguments
 * @param preparedAccess for {@code PREPARE}, whether the shape reads or writes
 */
public record Statement(StatementKind kind, String text, String name, String operand, Optional<Access> preparedAccess) {

    /** Returns a statement that refers to no name. */
    public static Statement plain(StatementKind kind, String text) {
        return new Statement(kind, text, "", "", Optional.empty());
    }

    /** Returns a statement that refers to a name. */
    public static Statement named(StatementKind kind, String text, String name, String operand) {
        return new Statement(kind, text, name, operand, Optional.empty());
    }

    /** Returns a statement that prepares a shape. */
    public static Statement prepare(String text, String name, Access access, String shape) {
        return new Statement(StatementKind.PREPARE, text, name, shape, Optional.of(access));
    }
}
