package org.lavenderwick.core.billing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Holds usage at the level already paid for while targets are met.
 *
 * <ul>
 *   <li>A connection above the level is opened only for work that would otherwise miss its target, one at a time and
 *       with a pause in which the last one can show its effect. Work that is already late opens none, so that the
 *       backlog of a failover does not raise the level for a month.
 *   <li>Work that can wait for the next minute and still be answered when due waits if the rest of the level is needed
 *       for more urgent work. All other work starts: holding it back would save nothing in this minute or would make
 *       it late.
 * </ul>
 */
public final class PaidLevelPolicy implements SpendingPolicy {

    /** Pause between two raises: several times the 12 ms that an open takes, so that the first one can help. */
    private static final Duration RAISE_INTERVAL = Duration.ofMillis(100);

    /** Slack that deferred work keeps, for delays that the estimates miss. */
    private static final Duration DEFERRAL_MARGIN = Duration.ofMillis(250);

    /** Deferred work meets the other deferred work of the minute, so it must afford a longer wait than now. */
    private static final int DEFERRED_WAIT_FACTOR = 2;

    private final Map<RankName, Integer> rankIndexes;
    private final RankLoadForecast forecast;
    private Optional<Instant> lastRaise = Optional.empty();

    private PaidLevelPolicy(Map<RankName, Integer> order) {
        this.rankIndexes = order;
        this.forecast = new RankLoadForecast(order.size());
    }

    /** Returns a policy for the given ranks, most urgent first. */
    public static PaidLevelPolicy create(List<RankName> ranks) {
        checkArgument(!ranks.isEmpty(), "there is no rank");
        ImmutableMap.Builder<RankName, Integer> builder = ImmutableMap.builder();
        for (int index = 0; index < ranks.size(); index++) {
            builder.put(ranks.get(index), index);
        }
        return new PaidLevelPolicy(builder.buildOrThrow());
    }

    @Override
    public boolean mayOpenConnection(PaidLevel paid, MinuteUsage current, int open, WorkEstimate demand, Instant now) {
        if (open == 0 || open < effectiveLevel(paid, current, now).connections()) {
            return true;
        }
        boolean late = demand.timeUntilDue().isNegative();
        if (late || !demand.spareTime().isNegative() || !raiseIntervalPassed(now)) {
            return false;
        }
        lastRaise = Optional.of(now);
        return true;
    }

    /** A wall clock that was set back does not block raises. */
    private boolean raiseIntervalPassed(Instant now) {
        return lastRaise
                .map(last -> now.isBefore(last) || !now.isBefore(last.plus(RAISE_INTERVAL)))
                .orElse(true);
    }

    @Override
    public boolean mayStart(PaidLevel paid, MinuteUsage current, WorkEstimate demand, Instant now) {
        if (!canWaitForNextMinute(demand, now)) {
            return true;
        }
        long used = current.minute().equals(MinuteMeter.minuteOf(now)) ? current.statements() : 0;
        long reserved = forecast.expectedFromMoreUrgentRanks(index(demand), now);
        return used + demand.statements() + reserved
                <= effectiveLevel(paid, current, now).load();
    }

    @Override
    public void recordStarted(WorkEstimate demand, Instant now) {
        forecast.recordStarted(index(demand), demand.statements(), now);
    }

    private int index(WorkEstimate demand) {
        Integer index = rankIndexes.get(demand.rank());
        checkArgument(index != null, "unknown rank %s", demand.rank());
        return index;
    }

    /** The paid level, or the usage of the running minute if that is higher: it will be paid for in any case. */
    private static PaidLevel effectiveLevel(PaidLevel paid, MinuteUsage current, Instant now) {
        PaidLevel level = paid.at(now);
        return current.minute().equals(MinuteMeter.minuteOf(now)) ? level.raisedBy(current) : level;
    }

    private static boolean canWaitForNextMinute(WorkEstimate demand, Instant now) {
        Duration latestStart = demand.timeUntilDue()
                .minus(demand.expectedService())
                .minus(demand.expectedWait().multipliedBy(DEFERRED_WAIT_FACTOR))
                .minus(DEFERRAL_MARGIN);
        return latestStart.compareTo(Duration.between(now, MinuteMeter.nextMinute(now))) >= 0;
    }
}
