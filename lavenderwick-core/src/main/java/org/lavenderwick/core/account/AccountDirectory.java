package org.lavenderwick.core.account;

import java.util.Collection;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;

/**
 * The client accounts of one configuration, by name and by key. Built once for each version, so that looking up a key
 * costs one hash whether the key is known or not. Immutable.
 */
public final class AccountDirectory {

    /** The directory of a configuration that names no accounts. Callers need no key then. */
    public static final AccountDirectory EMPTY = new AccountDirectory(ImmutableMap.of(), ImmutableMap.of());

    private final ImmutableMap<AccountName, ClientAccount> byName;
    private final ImmutableMap<KeyFingerprint, ClientAccount> byKey;
    private final double totalRate;

    private AccountDirectory(
            ImmutableMap<AccountName, ClientAccount> byName, ImmutableMap<KeyFingerprint, ClientAccount> byKey) {
        this.byName = byName;
        this.byKey = byKey;
        this.totalRate = byName.values().stream()
                .flatMap(account -> account.limit().stream())
                .mapToDouble(RateLimit::perSecond)
                .sum();
    }

    /**
     * Returns a directory of the given accounts.
     *
     * @throws IllegalArgumentException if two accounts have the same name or share a key
     */
    public static AccountDirectory of(Collection<ClientAccount> accounts) {
        ImmutableMap.Builder<AccountName, ClientAccount> byName = ImmutableMap.builder();
        ImmutableMap.Builder<KeyFingerprint, ClientAccount> byKey = ImmutableMap.builder();
        for (ClientAccount account : accounts) {
            byName.put(account.name(), account);
            account.keys().forEach(key -> byKey.put(key, account));
        }
        return new AccountDirectory(byName.buildOrThrow(), byKey.buildOrThrow());
    }

    /** Returns whether the configuration names no accounts. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns the account of the given name; empty if there is none. */
    public Optional<ClientAccount> account(AccountName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the account that holds a key; empty if none does. */
    public Optional<ClientAccount> holder(KeyFingerprint key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the sum of the rate limits of all accounts, in operations a second. */
    public double totalRate() {
        return totalRate;
    }

    /** Returns all accounts. */
    public Collection<ClientAccount> accounts() {
        return byName.values();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AccountDirectory that && that.byName.equals(byName);
    }

    @Override
    public int hashCode() {
        return byName.hashCode();
    }

    @Override
    public String toString() {
        return byName.keySet().toString();
    }
}
