package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.RankName;

/** The waiting items of one rank, and the service that its floor share entitles it to. */
final class RankQueue {

    /** Credit at which the rank is served ahead of more urgent ones. */
    private static final double DUE_CREDIT = 1;

    /** Highest credit; more would let a rank hold up urgent work for a while after its own pause. */
    private static final double MAX_CREDIT = 2;

    /** Lowest credit through service beyond the floor share, so that a flood of this rank is soon forgotten. */
    private static final double MIN_CREDIT = -1;

    private final RankName name;
    private final double floorShare;
    private final Map<Access, Lane> lanes = new EnumMap<>(Access.class);
    private double credit;

    RankQueue(RankName name, double floorShare) {
        this.name = name;
        this.floorShare = floorShare;
        for (Access access : Access.values()) {
            lanes.put(access, new Lane());
        }
    }

    RankName name() {
        return name;
    }

    double floorShare() {
        return floorShare;
    }

    Lane lane(Access access) {
        return lanes.get(access);
    }

    int size() {
        int size = 0;
        for (Lane lane : lanes.values()) {
            size += lane.size();
        }
        return size;
    }

    /** Returns the item to start next, if one may start: items on time before late ones, then by due time. */
    Optional<WorkItem> next(StartRule rule, Duration now, Duration serviceTime) {
        Optional<WorkItem> onTime = Optional.empty();
        for (Lane lane : lanes.values()) {
            if (lane.size() > 0) {
                lane.sortOutLate(now, serviceTime);
                onTime = earlierDue(onTime, lane.nextOnTime(rule));
            }
        }
        if (onTime.isPresent()) {
            return onTime;
        }
        Optional<WorkItem> late = Optional.empty();
        for (Lane lane : lanes.values()) {
            late = earlierDue(late, lane.firstLate(rule, now));
        }
        return late;
    }

    private static Optional<WorkItem> earlierDue(Optional<WorkItem> first, Optional<WorkItem> second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isPresent() ? first : second;
        }
        return second.get().due().compareTo(first.get().due()) < 0 ? second : first;
    }

    /** Returns the late item whose place a new item may take: the one closest to its deadline. */
    Optional<WorkItem> displaceable(Duration now, Duration serviceTime) {
        Optional<WorkItem> chosen = Optional.empty();
        for (Lane lane : lanes.values()) {
            lane.sortOutLate(now, serviceTime);
            Optional<WorkItem> candidate = lane.mostLate();
            if (candidate.isPresent()
                    && (chosen.isEmpty() || Lane.BY_DEADLINE.compare(candidate.get(), chosen.get()) < 0)) {
                chosen = candidate;
            }
        }
        return chosen;
    }

    boolean owedFloor() {
        return credit >= DUE_CREDIT;
    }

    /** Adds the rank's share of one served statement. */
    void earn(int statements) {
        credit = Math.min(MAX_CREDIT, credit + floorShare * statements);
    }

    void pay(int statements, boolean byFloor) {
        double after = credit - statements;
        credit = byFloor ? after : Math.max(after, Math.min(credit, MIN_CREDIT));
    }

    /** A rank without waiting work saves no credit. */
    void forfeitWhenEmpty() {
        if (size() == 0) {
            credit = Math.min(credit, 0);
        }
    }
}
