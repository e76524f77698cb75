package org.lavenderwick.core.store;

import java.util.List;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Changes up to a revision of the store.
 *
 * @param changes the changes, oldest first
 * @param encoded the same changes in the form in which one daemon passes them on to another
 * @param revision the revision that they lead to
 */
public record StoreChanges(List<StoreChange> changes, List<String> encoded, long revision) {

    /** Copies the lists. */
    public StoreChanges {
        checkArgument(changes.size() == encoded.size(), "%s changes in %s texts", changes.size(), encoded.size());
        changes = ImmutableList.copyOf(changes);
        encoded = ImmutableList.copyOf(encoded);
    }
}
