package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import org.lavenderwick.core.account.RateLimit;

/** The permits of one account at one asker, the operations that wait for one, and its demand. */
final class HeldPermits {

    /** Value of {@link #askedPart()} while no grantor is asked. */
    static final int NONE = -1;

    /** Time over which the demand is averaged. */
    private static final double DEMAND_SECONDS = 3;

    /** Demand, in operations a second, below which no permits are held ahead of it. */
    private static final double MIN_DEMAND = 0.03;

    /** An operation that waits for a permit. */
    record Waiter(PermitAsker.Callback callback) {}

    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private final long[] counts = new long[PartId.PARTS];
    private final long[] usedSinceReport = new long[PartId.PARTS];
    private final long[] reports = new long[PartId.PARTS];
    private final Duration[] expiresAt = new Duration[PartId.PARTS];
    private final Duration[] noRoomUntil = new Duration[PartId.PARTS];
    private RateLimit limit;
    private double decayedCount;
    private Duration demandAt = Duration.ZERO;
    private int askedPart = NONE;
    private long used;
    private long expired;
    private long rejected;

    HeldPermits(RateLimit limit) {
        this.limit = limit;
        drop();
    }

    /** Applies a limit. Permits of a higher one are dropped, so that the lower one binds. */
    void applyLimit(RateLimit newLimit) {
        if (newLimit.perSecond() < limit.perSecond() || newLimit.burst() < limit.burst()) {
            drop();
        }
        if (!newLimit.equals(limit)) {
            Arrays.fill(noRoomUntil, Duration.ZERO);
        }
        limit = newLimit;
    }

    /** Drops all permits. */
    void drop() {
        for (int part = 0; part < PartId.PARTS; part++) {
            drop(part);
            noRoomUntil[part] = Duration.ZERO;
        }
    }

    /** Drops the permits of a part. */
    void drop(int part) {
        counts[part] = 0;
        usedSinceReport[part] = 0;
        reports[part]++;
        expiresAt[part] = Duration.ZERO;
    }

    /** Records that an operation needs a permit. */
    void recordDemand(Duration now) {
        decayedCount = decayed(now) + 1;
        demandAt = now;
    }

    private double decayed(Duration now) {
        return decayedCount * Math.exp(-now.minus(demandAt).toNanos() / 1e9 / DEMAND_SECONDS);
    }

    /** Returns the number of permits that the demand of a lifetime needs. */
    long target(Duration now) {
        double perSecond = decayed(now) / DEMAND_SECONDS;
        return perSecond < MIN_DEMAND ? 0 : (long) Math.ceil(perSecond * PartSizes.LIFETIME.toMillis() / 1000.0);
    }

    /** Returns the number of permits of a part that may be used. */
    long held(int part, Duration now) {
        if (counts[part] > 0 && now.compareTo(expiresAt[part]) >= 0) {
            expired += counts[part];
            counts[part] = 0;
        }
        return counts[part];
    }

    long held(Duration now) {
        long sum = 0;
        for (int part = 0; part < PartId.PARTS; part++) {
            sum += held(part, now);
        }
        return sum;
    }

    /** Uses a permit of a part; returns false if there is none. */
    boolean use(int part, Duration now) {
        if (held(part, now) == 0) {
            return false;
        }
        counts[part]--;
        usedSinceReport[part]++;
        used++;
        return true;
    }

    /** Takes back a permit that was not needed, unless it was reported as used or its lifetime is over. */
    void giveBack(Permit permit, Duration now) {
        int part = permit.part();
        if (permit.report() == reports[part] && now.compareTo(expiresAt[part]) < 0) {
            counts[part]++;
            usedSinceReport[part]--;
            used--;
        }
    }

    /** Records a report of what is held of a part, of which some permits are given back to the grantor. */
    void report(int part, long returned) {
        counts[part] -= returned;
        usedSinceReport[part] = 0;
        reports[part]++;
    }

    /** Records what the grantor confirmed in response to the last report. */
    void confirm(int part, long total, Duration expiry) {
        counts[part] = Math.max(0, total - usedSinceReport[part]);
        expiresAt[part] = expiry;
    }

    Duration expiresAt(int part) {
        return expiresAt[part];
    }

    long reports(int part) {
        return reports[part];
    }

    Duration noRoomUntil(int part) {
        return noRoomUntil[part];
    }

    void setNoRoomUntil(int part, Duration time) {
        noRoomUntil[part] = time;
    }

    Deque<Waiter> waiters() {
        return waiters;
    }

    int askedPart() {
        return askedPart;
    }

    void setAskedPart(int part) {
        askedPart = part;
    }

    void countRejection() {
        rejected++;
    }

    PermitUse counts() {
        return new PermitUse(used, expired, rejected);
    }
}
