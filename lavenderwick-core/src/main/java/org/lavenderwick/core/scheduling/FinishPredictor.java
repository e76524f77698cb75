package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.Collection;

import org.lavenderwick.core.scheduling.OperationClass.Pool;

/**
 * Predicts when an arriving operation would finish, from what runs, what waits ahead of it and the slot rate. The wait
 * is that of a fluid: slot time ahead over the slots that more urgent arrivals leave.
 */
final class FinishPredictor {

    /** Slot time ahead of an operation, separately for the two kinds of slots. */
    private static final class Ahead {
        private double primary;
        private double any;

        void add(Pool pool, double seconds) {
            if (pool == Pool.PRIMARY) {
                primary += seconds;
            } else {
                any += seconds;
            }
        }
    }

    /**
     * The predicted wait of an operation.
     *
     * @param seconds wait until it starts, if it is served as one that can be in time
     * @param lateSeconds wait until it starts, if it is served as one that is late
     * @param displaces whether, once late, it would be served before operations that can be in time
     */
    record Prediction(double seconds, double lateSeconds, boolean displaces) {}

    private final WaitingOperations waiting;
    private final RunningOperations running;
    private final DispatchOrder order;
    private final LoadByRank load;

    FinishPredictor(WaitingOperations waiting, RunningOperations running, DispatchOrder order, LoadByRank load) {
        this.waiting = waiting;
        this.running = running;
        this.order = order;
        this.load = load;
    }

    Prediction predict(Operation operation, double cost, Pool pool, Duration now) {
        Ahead inTime = new Ahead();
        Ahead late = new Ahead();
        boolean displaces = false;
        double valueInTime = order.value(operation.rank(), operation.database(), false);
        double valueLate = order.value(operation.rank(), operation.database(), true);
        Collection<OperationClass> classes = waiting.classes();
        for (OperationClass other : classes) {
            OperationClass.Key key = other.key();
            double value = order.value(key.rank(), key.database(), key.late());
            if (key.late()) {
                if (key.rank() < operation.rank() && value > valueInTime) {
                    inTime.add(key.pool(), other.work());
                }
                if (value > valueLate || (value == valueLate && key.rank() != operation.rank())) {
                    late.add(key.pool(), other.work());
                }
            } else if (key.rank() < operation.rank()) {
                inTime.add(key.pool(), other.work());
                late.add(key.pool(), other.work());
            } else if (key.rank() > operation.rank()) {
                if (value > valueLate) {
                    late.add(key.pool(), other.work());
                } else if (key.pool() == pool) {
                    displaces = true;
                }
            }
        }
        addSameRank(operation, cost, inTime, late);
        return new Prediction(
                wait(inTime, pool, operation.rank(), now), wait(late, pool, operation.rank() + 1, now), displaces);
    }

    /**
     * Adds what is ahead in the rank of an operation. Until it is served, each other flow of its part gets no more slot
     * time than its own flow, and each other part no more than its own part.
     */
    private void addSameRank(Operation operation, double cost, Ahead inTime, Ahead late) {
        for (boolean isLate : new boolean[] {false, true}) {
            Ahead total = new Ahead();
            double ownFlow = 0;
            double ownPart = 0;
            for (OperationClass other : waiting.classes()) {
                OperationClass.Key key = other.key();
                if (key.rank() != operation.rank() || key.late() != isLate) {
                    continue;
                }
                total.add(key.pool(), other.work());
                if (key.database().equals(operation.database())
                        && key.domain().equals(operation.domain().value())) {
                    ownFlow += other.work(operation.flow());
                    ownPart += other.work();
                }
            }
            RankFlows flows = waiting.flows(operation.rank());
            double perFlow = ownFlow + cost + flows.flowExcess(operation);
            double part =
                    ownFlow + Math.min(ownPart - ownFlow, flows.part(operation).activeChildren() * perFlow);
            double perPart = part + cost + flows.partExcess(operation);
            double sum = total.primary + total.any;
            double ahead = part + Math.min(sum - ownPart, flows.activeParts() * perPart);
            double factor = sum > 0 ? Math.min(1, Math.max(0, ahead / sum)) : 0;
            for (Ahead each : isLate ? new Ahead[] {late} : new Ahead[] {inTime, late}) {
                each.add(Pool.PRIMARY, total.primary * factor);
                each.add(Pool.ANY, total.any * factor);
            }
        }
    }

    private double wait(Ahead ahead, Pool pool, int rank, Duration now) {
        double primary = wait(ahead.primary, true, false, rank, now);
        double replicas = wait(ahead.any, false, true, rank, now);
        double all = wait(ahead.primary + ahead.any, true, true, rank, now);
        // Reads use the slots of the primary only while these have less to do, see the design note.
        return pool == Pool.PRIMARY
                ? Math.max(primary, Double.isInfinite(replicas) ? 0 : all)
                : Math.min(replicas, all);
    }

    private double wait(double ahead, boolean primary, boolean replicas, int rank, Duration now) {
        RunningOperations.Usage usage = running.usage(primary, replicas, now);
        if (usage.slots() == 0) {
            return Double.POSITIVE_INFINITY;
        }
        if (usage.running() < usage.slots() && ahead == 0) {
            return 0;
        }
        double urgent =
                load.slotsBefore(rank, waitingBefore(rank), now) * (primary && replicas ? 1 : running.part(primary));
        double rate = Math.max(usage.slots() * MinimumShares.SHARE, usage.slots() - urgent);
        return (ahead + usage.remaining()) / rate;
    }

    private double waitingBefore(int rank) {
        double work = 0;
        for (OperationClass other : waiting.classes()) {
            work += other.key().rank() < rank ? other.work() : 0;
        }
        return work;
    }
}
