/** The closed list of error kinds and the failure value that carries one. */
package org.lavenderwick.core.error;
