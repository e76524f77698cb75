/** Routing of client requests from the receiving daemon (the entry daemon) to an owner of the database group. */
package org.lavenderwick.daemon.entry;
