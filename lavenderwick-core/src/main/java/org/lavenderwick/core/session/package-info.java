/** Session tokens and transaction handles that callers carry, sealed against forgery. */
package org.lavenderwick.core.session;
