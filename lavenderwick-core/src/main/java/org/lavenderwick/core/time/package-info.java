/** Clocks, which callers pass in so that tests control time, and utilities based on them. */
package org.lavenderwick.core.time;
