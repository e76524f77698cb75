/** Seats of daemons, the owners of database groups that follow from them, and peer exchange. */
package org.lavenderwick.core.membership;
