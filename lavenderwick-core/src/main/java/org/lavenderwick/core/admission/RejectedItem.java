package org.lavenderwick.core.admission;

import org.lavenderwick.core.error.Failure;

/**
 * A work item that was removed from the queue before it started. The failure may therefore report it as not run.
 *
 * @param item the removed item
 * @param failure why it was removed
 */
public record RejectedItem(WorkItem item, Failure failure) {}
