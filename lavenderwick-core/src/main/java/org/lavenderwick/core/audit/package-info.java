/** The audit log: who changed what and when, kept on the platform in chunks. */
package org.lavenderwick.core.audit;
