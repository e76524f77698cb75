package org.lavenderwick.core.statement;

import org.lavenderwick.core.admission.Access;

/**
 * Definition of a prepared statement, independent of the names given to it.
 *
 * @param access whether the statement reads or writes
 * @param text text of the statement, without the arguments of an execution
 */
public record PreparedStatement(Access access, String text) {}
