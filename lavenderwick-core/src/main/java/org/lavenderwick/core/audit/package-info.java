/** The audit log, which records who changed what and when. It is stored on the platform in chunks. */
package org.lavenderwick.core.audit;
