package org.lavenderwick.daemon.entry;

import java.util.Optional;

import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.session.TransactionHandle;

/**
 * Conversion of the transaction ids in handles, of the form {@code id/group}: the id at the owner, then the database
 * group, because a request to continue a transaction doesn't name its group.
 */
final class TransactionIds {
    private static final char SEPARATOR = '/';
    private static final int UUID_LENGTH = 36;

    private TransactionIds() {}

    /** Returns the transaction id for a handle. */
    static String join(String id, GroupName group) {
        return id + SEPARATOR + group;
    }

    /** Returns whether a handle has room for a transaction id (a UUID) and the name of the group. */
    static boolean fitsHandle(GroupName group) {
        return group.value().length() + UUID_LENGTH + 1 <= TransactionHandle.MAX_ID_LENGTH;
    }

    /** Returns the group in the transaction id of a handle, or empty if there is none. */
    static Optional<GroupName> groupOf(String joined) {
        int separator = joined.indexOf(SEPARATOR);
        return separator < 0 || separator == joined.length() - 1
                ? Optional.empty()
                : Optional.of(GroupName.of(joined.substring(separator + 1)));
    }

    /** Returns the id at the owner from the transaction id of a handle, which must contain a group. */
    static String idOf(String joined) {
        return joined.substring(0, joined.indexOf(SEPARATOR));
    }
}
