/** The daemon {@code lavenderwickd}. */
package org.lavenderwick.daemon;
