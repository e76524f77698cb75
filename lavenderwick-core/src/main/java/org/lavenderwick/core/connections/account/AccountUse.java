package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.account.AccountName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The rate of statements of each account in the recent past, and their mean service time. Older statements count
 * exponentially less. Only accounts with recent statements are kept. Not thread-safe.
 */
public final class AccountUse {

    /** An account is forgotten after this many windows without a statement, when its rate is near zero. */
    private static final int KEPT_WINDOWS = 8;

    /** Number of accounts from which on outdated ones are removed; later at twice the number that remained. */
    private static final int MIN_REMOVAL_SIZE = 64;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Mean time in which a statement is served, until the first measurement. */
    private static final Duration INITIAL_SERVICE_TIME = Duration.ofMillis(20);

    /** Weight of a new measurement in the mean. */
    private static final double MEAN_WEIGHT = 0.1;

    /** The rate of one account at one time. */
    private static final class Rate {
        private double perSecond;
        private long atNanos;
    }

    private final double windowNanos;
    private final Map<Optional<AccountName>, Rate> rates = new HashMap<>();
    private double meanServiceNanos = INITIAL_SERVICE_TIME.toNanos();
    private int removalSize = MIN_REMOVAL_SIZE;

    private AccountUse(Duration window) {
        windowNanos = window.toNanos();
    }

    /**
     * Creates rates of zero.
     *
     * @param window time constant of the decay
     */
    public static AccountUse create(Duration window) {
        checkArgument(!window.isNegative() && !window.isZero(), "window is not positive: %s", window);
        return new AccountUse(window);
    }

    /** Records a statement of an account; an empty account stands for statements without one. */
    public void record(Optional<AccountName> account, Duration now) {
        Rate rate = rates.get(account);
        if (rate == null) {
            removeOutdated(now.toNanos());
            rate = new Rate();
            rates.put(account, rate);
        }
        rate.perSecond = decayed(rate, now.toNanos()) + NANOS_PER_SECOND / windowNanos;
        rate.atNanos = now.toNanos();
    }

    /** Returns the statements per second of an account. */
    public double perSecond(Optional<AccountName> account, Duration now) {
        Rate rate = rates.get(account);
        return rate == null ? 0 : decayed(rate, now.toNanos());
    }

    /** Records that a statement was served. */
    public void recordServed(Duration serviceTime) {
        meanServiceNanos += MEAN_WEIGHT * (serviceTime.toNanos() - meanServiceNanos);
    }

    /** Returns the mean time in which a statement is served. */
    public double meanServiceNanos() {
        return meanServiceNanos;
    }

    /** Returns how many connections the statements of an account occupy on average. */
    public double occupiedConnections(Optional<AccountName> account, Duration now) {
        return perSecond(account, now) * meanServiceNanos / NANOS_PER_SECOND;
    }

    /**
     * Returns how many statements a second would find no idle connection if the account had one connection fewer, but
     * find one with all that it has. Statements are taken to arrive independently of each other, so that the part that
     * finds all connections busy is given by the Erlang B formula. The value of each further connection decreases fast.
     */
    public double marginalUse(Optional<AccountName> account, int connections, Duration now) {
        double rate = perSecond(account, now);
        double occupied = rate * meanServiceNanos / NANOS_PER_SECOND;
        double withOneFewer = 1;
        double blocked = 1;
        for (int number = 1; number <= connections; number++) {
            withOneFewer = blocked;
            blocked = occupied * blocked / (number + occupied * blocked);
        }
        return rate * (withOneFewer - blocked);
    }

    /** Returns the number of accounts whose rate is kept. */
    int size() {
        return rates.size();
    }

    private double decayed(Rate rate, long nowNanos) {
        return rate.perSecond * Math.exp((rate.atNanos - nowNanos) / windowNanos);
    }

    /** Removes the accounts without recent statements. The cost is spread over the accounts that were added since. */
    private void removeOutdated(long nowNanos) {
        if (rates.size() >= removalSize) {
            rates.values().removeIf(rate -> nowNanos - rate.atNanos > KEPT_WINDOWS * windowNanos);
            removalSize = Math.max(MIN_REMOVAL_SIZE, 2 * rates.size());
        }
    }
}
