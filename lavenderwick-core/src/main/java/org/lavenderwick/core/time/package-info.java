/** Clocks, passed in so that tests control time. */
package org.lavenderwick.core.time;
