/** Port to the store that outlives the hosts: the directory of endpoints, the configuration and the fleet's entries. */
package org.lavenderwick.core.store;
