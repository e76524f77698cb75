/** The databases that callers can connect to, the groups that serve them and the endpoints of each group. */
package org.lavenderwick.core.catalog;
