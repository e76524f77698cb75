/**
 * Which endpoint is the primary of a group, the evidence that it has not been replaced, and the replacement itself on a
 * platform that promotes on demand.
 */
package org.lavenderwick.core.failover;
