package org.lavenderwick.core.statement;

import java.util.Optional;

import org.lavenderwick.core.admission.Access;

/**
 * A parsed statement of a caller.
 *
 * @param kind kind of the statement
 * @param text the complete statement as sent by the caller
 * @param name name of the session variable or prepared statement; empty for statements that refer to neither
 * @param operand the part after the name: the new value of the variable, the text of the statement to prepare, or the
 *     arguments to execute it with; empty if there is none
 * @param preparedAccess whether the statement to prepare reads or writes; empty unless the kind is {@code PREPARE}
 */
public record Statement(StatementKind kind, String text, String name, String operand, Optional<Access> preparedAccess) {

    /** Returns a statement that refers to no session variable or prepared statement. */
    public static Statement plain(StatementKind kind, String text) {
        return new Statement(kind, text, "", "", Optional.empty());
    }

    /** Returns a statement that refers to a session variable or prepared statement. */
    public static Statement named(StatementKind kind, String text, String name, String operand) {
        return new Statement(kind, text, name, operand, Optional.empty());
    }

    /** Returns a {@code PREPARE} statement for the statement with the given text. */
    public static Statement prepare(String text, String name, Access access, String preparedText) {
        return new Statement(StatementKind.PREPARE, text, name, preparedText, Optional.of(access));
    }
}
