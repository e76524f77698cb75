/** Failure detection and promotion of the primary of a database group, and evidence that a term is current. */
package org.lavenderwick.core.promotion;
