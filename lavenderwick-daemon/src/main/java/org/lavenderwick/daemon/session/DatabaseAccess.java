package org.lavenderwick.daemon.session;

import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.account.AccessRules;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.account.SessionAccess;
import org.lavenderwick.core.account.SessionAccess.Verdict;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.error.Failure;

/** The access of one session to its database under the active configuration. Confined to the traffic thread. */
final class DatabaseAccess {

    private final SessionProxy proxy;
    private final EventLoop loop;
    private final String database;
    private final SessionAccess access;

    DatabaseAccess(SessionProxy proxy, EventLoop loop, String database, SessionAccess access) {
        this.proxy = proxy;
        this.loop = loop;
        this.database = database;
        this.access = access;
    }

    String database() {
        return database;
    }

    /** Returns the fingerprint of the key that the session was opened with. */
    KeyFingerprint key() {
        return access.key();
    }

    /** Returns the account of the session; empty if it needs none. */
    Optional<AccountName> account() {
        return access.account();
    }

    /** Returns what the active configuration requires of the session. */
    AccessRules rules() {
        return proxy.accessRules(database, access);
    }

    /** Opens the session, or returns why it cannot be opened. */
    Optional<Failure> open() {
        Either<Failure, DatabaseRoute> route = routeForOperation();
        return route.isLeft()
                ? Optional.of(route.getLeft())
                : access.open(rules()).map(proxy.routes()::deny);
    }

    /** Returns the route of an operation that begins now, or why none may begin. */
    Either<Failure, DatabaseRoute> routeForOperation() {
        return proxy.rejectsOperations()
                ? Either.left(StopFailures.OPERATION)
                : proxy.routes().find(database);
    }

    /**
     * Returns what the session may do now, after rolling back a transaction whose time is over. A transaction whose
     * statements follow each other without a pause is idle only for the moment at which the next one arrives.
     *
     * @param idle whether no statement is in progress
     */
    Verdict check(SessionTransaction transaction, boolean idle) {
        if (idle && transaction.isOpen() && proxy.rejectsOperations()) {
            transaction.lose();
        }
        Verdict verdict = access.check(rules(), transaction.isOpen(), loop.now());
        if (verdict == Verdict.ROLL_BACK && idle) {
            transaction.lose();
            return access.check(rules(), false, loop.now());
        }
        return verdict;
    }

    /** Returns what a relayed session may do now. The owner rolls back the transaction of a key that is valid. */
    Verdict checkRelayed(boolean inTransaction) {
        Verdict verdict = access.check(rules(), inTransaction, loop.now());
        return verdict == Verdict.ROLL_BACK ? access.check(rules(), false, loop.now()) : verdict;
    }
}
