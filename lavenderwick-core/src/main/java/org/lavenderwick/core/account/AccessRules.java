package org.lavenderwick.core.account;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * What one configuration requires of the sessions on a database.
 *
 * @param accounts the client accounts of the configuration
 * @param isPublic whether the database needs no key
 */
public record AccessRules(AccountDirectory accounts, boolean isPublic) {

    /**
     * Returns the account that a key gives access for; empty if the database needs no key. The failure if it needs one
     * and no account holds the given key.
     */
    public Either<Failure, Optional<AccountName>> grant(KeyFingerprint key) {
        if (isPublic || accounts.isEmpty()) {
            return Either.right(Optional.empty());
        }
        return accounts.holder(key)
                .<Either<Failure, Optional<AccountName>>>map(holder -> Either.right(Optional.of(holder.name())))
                .orElseGet(() ->
                        Either.left(Failure.of(ErrorKind.UNAUTHORIZED, "the database requires the key of an account")));
    }
}
