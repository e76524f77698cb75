/** Admission of work at the owner of a database group: queues by rank, concurrency limits and the retry budget. */
package org.lavenderwick.core.admission;
