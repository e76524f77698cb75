package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.account.AccountName;

/** A connection without a network, whose state tests set. */
final class FakeConnection implements AccountConnection {

    private final Optional<AccountName> account;
    private boolean open;
    private boolean reserved;
    private Optional<Duration> pendingSince;
    private Duration lastUsedAt;
    private int served;

    private FakeConnection(Optional<AccountName> account, Duration now) {
        this.account = account;
        this.pendingSince = Optional.of(now);
        this.lastUsedAt = now;
    }

    static FakeConnection opening(Optional<AccountName> account, Duration now) {
        return new FakeConnection(account, now);
    }

    static FakeConnection idle(Optional<AccountName> account, Duration now) {
        FakeConnection connection = new FakeConnection(account, now);
        connection.finish();
        return connection;
    }

    /** Ends the handshake or the running statement. */
    void finish() {
        open = true;
        pendingSince = Optional.empty();
    }

    void run(Duration now) {
        pendingSince = Optional.of(now);
        lastUsedAt = now;
        served++;
    }

    void reserve(boolean value) {
        reserved = value;
    }

    Duration lastUsedAt() {
        return lastUsedAt;
    }

    int served() {
        return served;
    }

    @Override
    public Optional<AccountName> account() {
        return account;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isIdle() {
        return open && !reserved && pendingSince.isEmpty();
    }

    @Override
    public boolean isReserved() {
        return reserved;
    }

    @Override
    public Optional<Duration> pendingSince() {
        return pendingSince;
    }
}
