/** What is known of the log positions of a database group and of its replicas. */
package org.lavenderwick.core.replication;
