/** Terms of a database group: evidence that a term is current, and the promotion of a new primary. */
package org.lavenderwick.core.promotion;
