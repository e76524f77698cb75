/** Fleet membership: the seats that daemons hold, the owners of database groups, and the gossip between daemons. */
package org.lavenderwick.core.membership;
