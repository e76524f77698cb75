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
 * Policy that keeps usage at the paid level as long as work completes within its target time.
 *
 * <ul>
 *   <li>A connection above the paid level is opened only for work that would otherwise be overdue. Such connections are
 *       opened one at a time, with an interval in which the previous one can take effect. Work that is already overdue
 *       opens none, so that the backlog after a failover does not raise the charges of a whole month.
 *   <li>Work that can start in the next minute and still complete in time is deferred if the remaining paid load of the
 *       current minute is needed for more urgent work. All other work starts immediately, because deferral would make
 *       it overdue or would not save any cost.
 * </ul>
 */
public final class PaidLevelPolicy implements SpendingPolicy {

    /**
     * Minimum interval between two connections above the paid level. It is several times the 12 ms that it takes to
     * open a connection, so that the first one can take effect.
     */
    private static final Duration EXTRA_CONNECTION_INTERVAL = Duration.ofMillis(100);

    /** Time that deferred work keeps in reserve for delays that the estimates do not include. */
    private static final Duration DEFERRAL_RESERVE = Duration.ofMillis(250);

    /**
     * Factor by which the expected wait grows in the next minute, when the deferred work of the current minute starts
     * as well.
     */
    private static final int DEFERRED_WAIT_FACTOR = 2;

    private final Map<RankName, Integer> rankIndexes;
    private final RankLoadForecast forecast;
    private Optional<Instant> lastExtraConnection = Optional.empty();

    private PaidLevelPolicy(Map<RankName, Integer> order) {
        this.rankIndexes = order;
        this.forecast = new RankLoadForecast(order.size());
    }

    /** Returns a policy for the given ranks, ordered from the most to the least urgent. */
    public static PaidLevelPolicy create(List<RankName> ranks) {
        checkArgument(!ranks.isEmpty(), "no ranks are given");
        ImmutableMap.Builder<RankName, Integer> builder = ImmutableMap.builder();
        for (int index = 0; index < ranks.size(); index++) {
            builder.put(ranks.get(index), index);
        }
        return new PaidLevelPolicy(builder.buildOrThrow());
    }

    @Override
    public boolean mayOpenConnection(PaidLevel paid, MinuteUsage current, int open, WorkEstimate work, Instant now) {
        if (open == 0 || open < effectiveLevel(paid, current, now).connections()) {
            return true;
        }
        boolean overdue = work.timeUntilDue().isNegative();
        if (overdue || !work.spareTime().isNegative() || !intervalHasPassed(now)) {
            return false;
        }
        lastExtraConnection = Optional.of(now);
        return true;
    }

    /**
     * Returns whether the interval has passed. Also true if the wall clock was set back, which must not block
     * connections.
     */
    private boolean intervalHasPassed(Instant now) {
        return lastExtraConnection
                .map(last -> now.isBefore(last) || !now.isBefore(last.plus(EXTRA_CONNECTION_INTERVAL)))
                .orElse(true);
    }

    @Override
    public boolean mayStart(PaidLevel paid, MinuteUsage current, WorkEstimate work, Instant now) {
        if (!canWaitForNextMinute(work, now)) {
            return true;
        }
        long started = current.minute().equals(MinuteMeter.minuteOf(now)) ? current.statements() : 0;
        long reserved = forecast.expectedFromMoreUrgentRanks(index(work), now);
        return started + work.statements() + reserved
                <= effectiveLevel(paid, current, now).load();
    }

    @Override
    public void recordStarted(WorkEstimate work, Instant now) {
        forecast.recordStarted(index(work), work.statements(), now);
    }

    private int index(WorkEstimate work) {
        Integer index = rankIndexes.get(work.rank());
        checkArgument(index != null, "rank %s is unknown", work.rank());
        return index;
    }

    /** Returns the paid level raised by the usage of the current minute, which will be billed in any case. */
    private static PaidLevel effectiveLevel(PaidLevel paid, MinuteUsage current, Instant now) {
        PaidLevel level = paid.at(now);
        return current.minute().equals(MinuteMeter.minuteOf(now)) ? level.raisedBy(current) : level;
    }

    private static boolean canWaitForNextMinute(WorkEstimate work, Instant now) {
        Duration latestStart = work.timeUntilDue()
                .minus(work.expectedService())
                .minus(work.expectedWait().multipliedBy(DEFERRED_WAIT_FACTOR))
                .minus(DEFERRAL_RESERVE);
        return latestStart.compareTo(Duration.between(now, MinuteMeter.nextMinute(now))) >= 0;
    }
}
