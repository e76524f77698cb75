package org.lavenderwick.core.account;

import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;

/**
 * A client account of one configuration.
 *
 * @param name the name
 * @param priority the priority that operators gave it; 0 is the highest
 * @param limit the rate limit; empty if the account has none
 * @param keys fingerprints of the keys of the account
 */
public record ClientAccount(AccountName name, int priority, Optional<RateLimit> limit, Set<KeyFingerprint> keys) {

    /** Copies the keys. */
    public ClientAccount {
        keys = ImmutableSet.copyOf(keys);
    }
}
