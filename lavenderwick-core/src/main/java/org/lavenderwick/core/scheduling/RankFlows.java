package org.lavenderwick.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * The start tags of the flows of one rank (start-time fair queueing over slot time), in two levels. The parts of the
 * rank, which are the combinations of database and failure domain, share its slot time, and the accounts share that of
 * each part. With accounts on the first level, a flood of one database from all accounts left an account that needs
 * more than an equal share no more than that in its other databases. The number of tags is bounded by accounts,
 * databases and domains. Not thread-safe.
 */
final class RankFlows {

    /** The tag of a part, or of an account in a part. */
    static final class Tag {
        private double start;
        private double virtualTime;
        private int activeChildren;
        private int activePlaces;

        double start() {
            return start;
        }

        /** Returns the number of accounts of a part with work waiting. */
        int activeChildren() {
            return activeChildren;
        }
    }

    private record PartKey(String database, String domain) {
        static PartKey of(Operation operation) {
            return new PartKey(operation.database(), operation.domain().value());
        }
    }

    private record FlowKey(Operation.Flow flow, PartKey part) {}

    private final Map<PartKey, Tag> parts = new HashMap<>();
    private final Map<FlowKey, Tag> flows = new HashMap<>();
    private final Tag root = new Tag();

    Tag part(Operation operation) {
        return parts.computeIfAbsent(PartKey.of(operation), key -> new Tag());
    }

    Tag flow(Operation operation) {
        return flows.computeIfAbsent(new FlowKey(operation.flow(), PartKey.of(operation)), key -> new Tag());
    }

    /** Returns the number of parts with work waiting. */
    int activeParts() {
        return root.activeChildren;
    }

    /** Returns the slot time in seconds by which the part of an operation is ahead of the rank. */
    double partExcess(Operation operation) {
        return Math.max(0, part(operation).start - root.virtualTime);
    }

    /** Returns the slot time in seconds by which the flow of an operation is ahead of its part. */
    double flowExcess(Operation operation) {
        return Math.max(0, flow(operation).start - part(operation).virtualTime);
    }

    /** Records that a flow has work in one more class. What was idle gets no credit for that time. */
    void onActive(Operation operation) {
        Tag part = part(operation);
        if (activate(flow(operation), part)) {
            activate(part, root);
        }
    }

    private static boolean activate(Tag tag, Tag parent) {
        if (tag.activePlaces++ > 0) {
            return false;
        }
        parent.activeChildren++;
        tag.start = Math.max(tag.start, parent.virtualTime);
        return true;
    }

    void onInactive(Operation operation) {
        Tag part = part(operation);
        if (deactivate(flow(operation), part)) {
            deactivate(part, root);
        }
    }

    private static boolean deactivate(Tag tag, Tag parent) {
        if (--tag.activePlaces > 0) {
            return false;
        }
        parent.activeChildren--;
        return true;
    }

    /** Records that an operation was given a slot. */
    void onDispatched(Operation operation, double seconds) {
        Tag part = part(operation);
        root.virtualTime = Math.max(root.virtualTime, part.start);
        part.virtualTime = Math.max(part.virtualTime, flow(operation).start);
        charge(operation, seconds);
    }

    /** Adds slot time to the flow of an operation and its part; negative to correct an estimate. */
    void charge(Operation operation, double seconds) {
        flow(operation).start += seconds;
        part(operation).start += seconds;
    }
}
