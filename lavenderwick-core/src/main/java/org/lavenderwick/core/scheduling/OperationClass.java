package org.lavenderwick.core.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The operations that wait with the same rank, database, failure domain and kind of slot, and are either all in time or
 * all late. They are ordered by the tag of their flow, then by arrival. All methods take logarithmic time in the number
 * of flows and of operations of one flow. Not thread-safe.
 */
final class OperationClass {

    /** The kind of slot that operations wait for. */
    enum Pool {
        /** Only a slot of the primary, which includes reads that no replica can serve in time. */
        PRIMARY,
        /** A slot of any endpoint. */
        ANY
    }

    /** Identity of a class. */
    record Key(int rank, String database, String domain, Pool pool, boolean late) {}

    /** The operations of one flow. */
    private static final class FlowQueue {
        private final RankFlows.Tag tag;
        private final PriorityQueue<WaitingOperation> operations = new PriorityQueue<>(Comparator.comparing(
                        (WaitingOperation waiting) -> waiting.operation().arrivedAt())
                .thenComparing(waiting -> waiting.operation().id()));
        private double queuedStart;
        private int size;
        private double work;

        FlowQueue(RankFlows.Tag tag) {
            this.tag = tag;
        }
    }

    private final Key key;
    private final RankFlows rankFlows;
    private final List<MinimumShares.State> shares;
    private RankFlows.Tag part;
    private final Map<Operation.Flow, FlowQueue> flows = new HashMap<>();
    private final PriorityQueue<FlowQueue> order =
            new PriorityQueue<>(Comparator.comparingDouble(queue -> queue.queuedStart));
    private final PriorityQueue<WaitingOperation> byDueTime = new PriorityQueue<>(Comparator.comparing(
                    (WaitingOperation waiting) -> waiting.operation().dueAt())
            .thenComparing(waiting -> waiting.operation().id()));
    private int size;
    private double work;

    OperationClass(Key key, RankFlows rankFlows, List<MinimumShares.State> shares) {
        this.key = key;
        this.shares = shares;
        this.rankFlows = rankFlows;
    }

    /** Returns what its rank, database and failure domain were served. */
    List<MinimumShares.State> shares() {
        return shares;
    }

    Key key() {
        return key;
    }

    int size() {
        return size;
    }

    /** Returns the expected slot time of all operations in seconds. */
    double work() {
        return work;
    }

    /** Returns the expected slot time of the operations of a flow in seconds. */
    double work(Operation.Flow flow) {
        FlowQueue queue = flows.get(flow);
        return queue == null ? 0 : queue.work;
    }

    void add(WaitingOperation waiting) {
        Operation operation = waiting.operation();
        FlowQueue queue = flows.get(operation.flow());
        if (part == null) {
            part = rankFlows.part(operation);
        }
        if (queue == null) {
            queue = new FlowQueue(rankFlows.flow(operation));
            flows.put(operation.flow(), queue);
            rankFlows.onActive(operation);
            queue.queuedStart = queue.tag.start();
            order.add(queue);
        }
        queue.operations.add(waiting);
        byDueTime.add(waiting);
        queue.size++;
        queue.work += waiting.cost();
        size++;
        work += waiting.cost();
        waiting.moveTo(this);
    }

    /** Removes an operation of this class; its entries in the heaps are dropped when they come first. */
    void remove(WaitingOperation waiting) {
        Operation.Flow flow = waiting.operation().flow();
        FlowQueue queue = flows.get(flow);
        waiting.moveTo(null);
        queue.size--;
        queue.work -= waiting.cost();
        size--;
        work = size == 0 ? 0 : work - waiting.cost();
        if (queue.size == 0) {
            flows.remove(flow);
            rankFlows.onInactive(waiting.operation());
        }
    }

    /** Returns the operation that exceeds its target first; the class must not be empty. */
    WaitingOperation firstDue() {
        while (byDueTime.peek().place() != this) {
            byDueTime.remove();
        }
        return byDueTime.peek();
    }

    /** Returns the first operation in the order of flows; the class must not be empty. */
    WaitingOperation first() {
        PriorityQueue<WaitingOperation> operations = firstFlow().operations;
        while (operations.peek().place() != this) {
            operations.remove();
        }
        return operations.peek();
    }

    /** Returns the tag of the database and failure domain. */
    double partStart() {
        return part.start();
    }

    /** Returns the tag of the flow of the first operation. */
    double flowStart() {
        return firstFlow().tag.start();
    }

    // Tags change in other classes too, so a queue whose tag has increased is placed anew when it comes first.
    private FlowQueue firstFlow() {
        while (true) {
            FlowQueue queue = order.peek();
            if (queue.size == 0) {
                order.remove();
            } else if (queue.tag.start() > queue.queuedStart) {
                order.remove();
                queue.queuedStart = queue.tag.start();
                order.add(queue);
            } else {
                return queue;
            }
        }
    }
}
