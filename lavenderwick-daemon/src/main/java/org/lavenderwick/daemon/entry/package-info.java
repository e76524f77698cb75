/** The path of a caller's request from the entry daemon to an owner of its database group. */
package org.lavenderwick.daemon.entry;
