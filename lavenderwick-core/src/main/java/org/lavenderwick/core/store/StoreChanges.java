package org.lavenderwick.core.store;

import java.util.List;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Consecutive changes in the store, up to a revision.
 *
 * @param changes the changes, oldest first
 * @param encoded the same changes in the text form that daemons forward to each other, in the same order
 * @param revision the revision of the store after the last change
 */
public record StoreChanges(List<StoreChange> changes, List<String> encoded, long revision) {

    /** Copies the lists. */
    public StoreChanges {
        checkArgument(
                changes.size() == encoded.size(), "%s changes but %s encoded changes", changes.size(), encoded.size());
        changes = ImmutableList.copyOf(changes);
        encoded = ImmutableList.copyOf(encoded);
    }
}
