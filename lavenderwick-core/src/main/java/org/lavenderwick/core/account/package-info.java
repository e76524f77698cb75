/** Client accounts: which account a caller's key belongs to, and how many operations the account may run. */
package org.lavenderwick.core.account;
