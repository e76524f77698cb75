package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.model.FailureDomain;

/** The load of one group of deployment A (docs/design/accounts-and-load.md), a sixth of the deployment. */
final class Load {

    /** One operation of a caller: what it takes, when a replica can serve it, and when its caller leaves. */
    record Call(Operation operation, Duration work, Duration replicaReadyAt, Duration leavesAt, boolean flood) {

        /** Returns whether the call is of an account, database or failure domain. */
        boolean isOf(String name) {
            return name.equals(operation.database())
                    || name.equals(operation.domain().value())
                    || name.equals(operation.account().map(AccountName::value).orElse(""));
        }

        double value(boolean late) {
            return (late ? LATE : IN_TIME)[operation.rank()];
        }

        /** Returns when a response has its full value. */
        Duration bestUntil() {
            return operation.dueAt().compareTo(leavesAt) < 0 ? operation.dueAt() : leavesAt;
        }
    }

    static final Duration NEVER = Duration.ofDays(1);
    static final int SLOTS = 6;

    private static final double[] IN_TIME = {3.5, 1.9, 0.47};
    private static final double[] LATE = {0.43, 0.28, 0.21};
    private static final double[] PER_SECOND = {17, 79, 29.5};
    private static final int[] WORK_MS = {11, 33, 55};
    private static final int[] TARGET_MS = {201, 401, 1501};
    private static final int[] DEADLINE_MS = {1206, 1203, 5004};
    private static final int[] AGE_MS = {0, 2500, 1500};
    private static final int ACCOUNTS = 78;

    private final Random random;
    private final List<Call> calls = new ArrayList<>();
    boolean accounts = true;
    double leaving;
    int lagMs = 30;

    Load(long seed) {
        random = new Random(seed);
    }

    static Duration ms(double millis) {
        return Duration.ofNanos((long) (millis * 1e6));
    }

    /** Adds calls at a multiple of the usual rate; {@code only} restricts them to an account, database or domain. */
    Load add(double fromSecond, double toSecond, double factor, String only) {
        for (int rank = 0; rank < PER_SECOND.length; rank++) {
            double at = fromSecond;
            while (true) {
                at -= Math.log(1 - random.nextDouble()) / (PER_SECOND[rank] * factor);
                if (at >= toSecond) {
                    break;
                }
                Call call = call(rank, at * 1000, only);
                if (only.isEmpty() || call.isOf(only)) {
                    calls.add(call);
                }
            }
        }
        return this;
    }

    private Call call(int rank, double atMs, String only) {
        int account = 0;
        double draw = random.nextDouble() * 3.04;
        while (account < ACCOUNTS - 1 && (draw -= Math.pow(account + 1, -1.2)) > 0) {
            account++;
        }
        Operation operation = operation(
                calls.size(),
                rank,
                "d" + rank + random.nextInt(2),
                "a" + account,
                "z" + random.nextInt(3),
                atMs,
                rank == 0);
        boolean seesOwnWrite = rank == 1 && random.nextDouble() < 0.1;
        double age = seesOwnWrite ? random.nextDouble() * AGE_MS[1] : AGE_MS[rank];
        Duration ready = rank == 0 ? NEVER : ms(Math.max(0, atMs - age + lagMs));
        boolean leaves = random.nextDouble() < leaving;
        return new Call(
                operation,
                ms(WORK_MS[rank] * (0.5 + random.nextDouble())),
                ready,
                leaves ? operation.halfTargetAt() : NEVER,
                !only.isEmpty());
    }

    Operation operation(
            long id, int rank, String database, String account, String domain, double atMs, boolean primaryOnly) {
        return new Operation(
                id,
                rank,
                database,
                accounts ? Optional.of(AccountName.of(account)) : Optional.empty(),
                FailureDomain.of(domain),
                ms(atMs),
                ms(TARGET_MS[rank]),
                ms(atMs + DEADLINE_MS[rank]),
                primaryOnly,
                false);
    }

    /** Adds statements of open transactions that each begin on a new connection, are idle for 2 s and commit. */
    Load addTransactions(int count, int seconds) {
        for (int index = 0; index < count * seconds / 2; index++) {
            double at = random.nextDouble() * seconds * 1000;
            for (int step = 0; step < 2; step++) {
                Operation first =
                        operation(calls.size(), 1, "d10", "a" + index % 5, "z" + index % 3, at + step * 2000, true);
                Operation open = new Operation(
                        first.id(),
                        1,
                        first.database(),
                        first.account(),
                        first.domain(),
                        first.arrivedAt(),
                        first.target(),
                        first.deadline(),
                        true,
                        step == 1);
                calls.add(new Call(open, ms(step == 0 ? 45 : 12), NEVER, NEVER, false));
            }
        }
        return this;
    }

    /** Excludes the calls of an account, database or domain from the value, because the others are compared. */
    Load uncount(String name) {
        calls.replaceAll(call ->
                new Call(call.operation, call.work, call.replicaReadyAt, call.leavesAt, call.flood || call.isOf(name)));
        return this;
    }

    List<Call> calls() {
        List<Call> sorted = new ArrayList<>(calls);
        sorted.sort(Comparator.comparing((Call call) -> call.operation.arrivedAt()));
        return sorted;
    }
}
