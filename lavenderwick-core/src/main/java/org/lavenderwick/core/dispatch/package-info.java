/**
 * Dispatch of statements: selection of the owners of a database group and of the endpoint for a statement, limits per
 * endpoint, and estimates of the queue wait.
 */
package org.lavenderwick.core.dispatch;
