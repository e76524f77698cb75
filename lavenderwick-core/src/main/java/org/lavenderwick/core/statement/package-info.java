/** Statements of a caller's session and the state that they leave on the session and on a connection. */
package org.lavenderwick.core.statement;
