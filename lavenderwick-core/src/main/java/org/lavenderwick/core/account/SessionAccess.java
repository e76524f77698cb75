package org.lavenderwick.core.account;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * The access of one session: the key that it was opened with, the account that it runs for, and what it may do under
 * the active configuration. Decides by the latest configuration only, so a key that is valid again is accepted again.
 * Not thread-safe.
 *
 * <p>A session whose key moves to another account ends, because its connections and permits belong to the former one.
 * A session that needed no key goes on under the account of its key once the database requires one, and the reverse.
 */
public final class SessionAccess {

    /** The open transaction may take this part of the time in which a configuration must be in force. */
    private static final int GRACE_DIVISOR = 10;

    /** What a session may do. */
    public enum Verdict {
        /** The session may run anything. */
        GRANTED,
        /** The session may go on with its open transaction for a while, and begin nothing. */
        FINISH_TRANSACTION,
        /** The open transaction has to be rolled back. */
        ROLL_BACK,
        /** The session may run nothing and has to be closed. */
        END
    }

    private final KeyFingerprint key;
    private final Duration grace;
    private Optional<AccountName> account = Optional.empty();
    private Optional<Duration> finishBy = Optional.empty();

    private SessionAccess(KeyFingerprint key, Duration grace) {
        this.key = key;
        this.grace = grace;
    }

    /**
     * Returns the access of a session that is not open yet.
     *
     * @param key the fingerprint of what the caller presented as its key
     * @param configurationBound time in which a configuration must be in force
     */
    public static SessionAccess of(KeyFingerprint key, Duration configurationBound) {
        return new SessionAccess(key, configurationBound.dividedBy(GRACE_DIVISOR));
    }

    /** Returns the failure of a session whose key gives no access any more. */
    public static Failure withdrawn() {
        return Failure.of(ErrorKind.UNAUTHORIZED, "the key of the session was withdrawn");
    }

    /** Returns the fingerprint of the key that the session was opened with. */
    public KeyFingerprint key() {
        return key;
    }

    /** Returns the account that the session runs for; empty if it needs none. */
    public Optional<AccountName> account() {
        return account;
    }

    /** Opens the session, or returns the failure if its key gives no access. */
    public Optional<Failure> open(AccessRules rules) {
        Either<Failure, Optional<AccountName>> granted = rules.grant(key);
        account = granted.getOrElse(Optional.empty());
        return granted.isLeft() ? Optional.of(granted.getLeft()) : Optional.empty();
    }

    /**
     * Returns what the session may do now. Called for each new configuration, before each request, and repeatedly while
     * the verdict is not {@link Verdict#GRANTED}.
     *
     * @param rules what the active configuration requires
     * @param inTransaction whether a transaction of the caller is open
     * @param now the current time on the monotonic clock
     */
    public Verdict check(AccessRules rules, boolean inTransaction, Duration now) {
        Either<Failure, Optional<AccountName>> granted = rules.grant(key);
        if (granted.isRight() && granted.get().equals(account)) {
            finishBy = Optional.empty();
            return Verdict.GRANTED;
        }
        if (inTransaction) {
            Duration end = finishBy.orElseGet(() -> now.plus(grace));
            finishBy = Optional.of(end);
            return now.compareTo(end) < 0 ? Verdict.FINISH_TRANSACTION : Verdict.ROLL_BACK;
        }
        boolean moved = granted.isRight() && granted.get().isPresent() && account.isPresent();
        if (granted.isLeft() || moved) {
            return Verdict.END;
        }
        account = granted.get();
        finishBy = Optional.empty();
        return Verdict.GRANTED;
    }
}
