/** The operators' tool {@code lavenderwick}. */
package org.lavenderwick.cli;
