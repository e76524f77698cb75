package org.lavenderwick.core.store;

import java.util.List;

import com.google.common.collect.ImmutableList;

/**
 * Changes up to a revision of the store.
 *
 * @param changes the changes, oldest first
 * @param revision the revision that they lead to
 */
public record StoreChanges(List<StoreChange> changes, long revision) {

    /** Copies the list. */
    public StoreChanges {
        changes = ImmutableList.copyOf(changes);
    }
}
