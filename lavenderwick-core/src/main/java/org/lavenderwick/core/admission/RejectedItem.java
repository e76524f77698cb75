package org.lavenderwick.core.admission;

import org.lavenderwick.core.error.Failure;

/**
 * A waiting item that was given up. It never started, so the failure's "not run" holds.
 *
 * @param item the item
 * @param failure why it was given up
 */
public record RejectedItem(WorkItem item, Failure failure) {}
