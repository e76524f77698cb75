package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.account.AccountName;

/** The state of one connection, as far as the decisions of {@link AccountConnectionCache} depend on it. */
public interface AccountConnection {

    /** Returns the client account of the connection; empty if it is the daemon's own. */
    Optional<AccountName> account();

    /** Returns whether the handshake has succeeded and the connection is not closed. */
    boolean isOpen();

    /** Returns whether it is open, has no pending response and is not reserved for a transaction. */
    boolean isIdle();

    /** Returns whether it is reserved for a transaction, whether a statement runs or not. */
    boolean isReserved();

    /** Returns when the oldest pending request or the attempt to open it began; empty if nothing is pending. */
    Optional<Duration> pendingSince();
}
