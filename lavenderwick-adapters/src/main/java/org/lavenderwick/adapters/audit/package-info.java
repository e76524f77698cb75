/** The audit log on the platform. */
package org.lavenderwick.adapters.audit;
