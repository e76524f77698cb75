/** The databases that callers may name, the groups that serve them and the endpoints of each group. */
package org.lavenderwick.core.catalog;
