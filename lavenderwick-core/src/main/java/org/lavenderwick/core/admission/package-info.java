/**
 * Admission control for the work of a database group: queues with a priority rank per item, limits on concurrent
 * statements, and the retry budget.
 */
package org.lavenderwick.core.admission;
