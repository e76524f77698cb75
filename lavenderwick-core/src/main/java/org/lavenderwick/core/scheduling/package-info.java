/**
 * The admission decision for arriving operations of one database group and the dispatch decision for its free slots.
 * Pure: time is passed in, and the caller carries out the decisions.
 */
package org.lavenderwick.core.scheduling;
