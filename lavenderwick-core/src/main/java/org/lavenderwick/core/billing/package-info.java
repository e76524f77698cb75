/** Usage per calendar minute, the level already paid for, and the policy that holds usage at it. */
package org.lavenderwick.core.billing;
