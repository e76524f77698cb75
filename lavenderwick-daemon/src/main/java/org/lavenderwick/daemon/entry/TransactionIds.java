package org.lavenderwick.daemon.entry;

import java.util.Optional;

import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.session.TransactionHandle;

/** The transaction identity in a handle: the id at the owner and the database group, which a step does not state. */
final class TransactionIds {
    private static final char SEPARATOR = '/';

    private TransactionIds() {}

    static String join(String id, GroupName group) {
        return id + SEPARATOR + group;
    }

    /** Returns whether the name of the group fits into a handle. */
    static boolean fits(GroupName group) {
        // An id is a UUID of 36 characters.
        return group.value().length() + 37 <= TransactionHandle.MAX_ID_LENGTH;
    }

    static Optional<GroupName> group(String joined) {
        int separator = joined.indexOf(SEPARATOR);
        return separator < 0 || separator == joined.length() - 1
                ? Optional.empty()
                : Optional.of(GroupName.of(joined.substring(separator + 1)));
    }

    static String id(String joined) {
        return joined.substring(0, joined.indexOf(SEPARATOR));
    }
}
