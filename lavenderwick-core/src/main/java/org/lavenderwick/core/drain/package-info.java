/** Graceful shutdown of a daemon. */
package org.lavenderwick.core.drain;
