package org.lavenderwick.core.statement;

import org.lavenderwick.core.admission.Access;

/**
 * A prepared statement, without the name that a session gave it.
 *
 * @param access whether the statement reads or writes
 * @param text the text of the statement
 */
public record PreparedStatement(Access access, String text) {}
