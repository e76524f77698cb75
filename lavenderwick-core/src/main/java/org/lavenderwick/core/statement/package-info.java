/** Statements of caller sessions, and the state that they establish in a session and on a database connection. */
package org.lavenderwick.core.statement;
