/** The replication log positions of the primary of a database group, used to bound the staleness of reads. */
package org.lavenderwick.core.replication;
