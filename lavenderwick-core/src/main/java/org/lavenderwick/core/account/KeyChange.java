package org.lavenderwick.core.account;

import java.util.List;

import com.google.common.collect.ImmutableList;

/**
 * A key that an account gained or lost from one configuration to the next. A key that moves to another account counts
 * as withdrawn from the one and added to the other.
 *
 * @param key the fingerprint of the key
 * @param account the account
 * @param added whether the account gained the key; false if it was withdrawn
 */
public record KeyChange(KeyFingerprint key, AccountName account, boolean added) {

    /** Returns the changes between two configurations, the withdrawn keys first. */
    public static List<KeyChange> between(AccountDirectory before, AccountDirectory after) {
        ImmutableList.Builder<KeyChange> changes = ImmutableList.builder();
        collect(before, after, false, changes);
        collect(after, before, true, changes);
        return changes.build();
    }

    /** Collects the keys of one directory that belong to another account or to none in the other directory. */
    private static void collect(
            AccountDirectory from, AccountDirectory other, boolean added, ImmutableList.Builder<KeyChange> changes) {
        for (ClientAccount account : from.accounts()) {
            for (KeyFingerprint key : account.keys()) {
                if (other.holder(key)
                        .filter(holder -> holder.name().equals(account.name()))
                        .isEmpty()) {
                    changes.add(new KeyChange(key, account.name(), added));
                }
            }
        }
    }
}
