/**
 * Rate limits of client accounts over all daemons. The limit of an account is divided into parts; one daemon, the
 * grantor of a part, issues permits to the daemons that start operations.
 *
 * <p>The bound rests on one invariant of each part: the permits that grantors have issued and that may still be used,
 * plus the permits that the grantor may issue at once, are at most the capacity of the part. A window therefore holds
 * at most the capacity plus what the part gains within the window, however long permits may be held. See {@link
 * org.lavenderwick.core.ratelimit.PartSizes} for the sum.
 */
package org.lavenderwick.core.ratelimit;
