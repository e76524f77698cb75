package org.lavenderwick.core.ratelimit;

import org.lavenderwick.core.account.AccountName;

/**
 * A permit that was used for one operation.
 *
 * @param account the account
 * @param part the part of its limit from which it came
 * @param report number of the last report to the grantor before it was used; it can only be given back until the next
 */
public record Permit(AccountName account, int part, long report) {}
