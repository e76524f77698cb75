package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Serves the most urgent rank first, while every rank with waiting work keeps its floor share of the service.
 *
 * <ul>
 *   <li>Each start earns every rank that could have started an item its floor share of that start. A rank with the
 *       credit of a whole start goes ahead of more urgent ranks. Service beyond the floor share uses up credit, so a
 *       rank that floods has none and never delays urgent work.
 *   <li>Within a rank, items that can still be answered when due are served before late ones; while there are late
 *       ones, those with the most time left come first.
 *   <li>An item is refused on arrival if what stands before it would take until after its deadline, at the measured
 *       pace.
 *   <li>Each rank has its own bound. A new item takes the place of a late one when the rank is full.
 * </ul>
 *
 * <p>Offers, takes and cancellations take logarithmic time in the number of waiting items and linear time in the number
 * of ranks.
 */
public final class RankedAdmissionQueue implements AdmissionQueue {

    private static final Failure LATE =
            Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before the work could start.");

    private static final Failure DISPLACED =
            Failure.of(ErrorKind.QUEUE_FULL, "The queue of the rank is full and this work was already late.");

    private static final Failure FULL = Failure.of(ErrorKind.QUEUE_FULL, "The queue of the rank is full.");

    private final int capacityPerRank;
    private final List<RankQueue> ranks;
    private final Map<RankName, Integer> order;
    private final Map<Access, DepartureMeter> meters = new EnumMap<>(Access.class);
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<Long, WorkItem> waiting = new HashMap<>();
    private final NavigableSet<WorkItem> byDeadline = new TreeSet<>(Lane.BY_DEADLINE);

    private RankedAdmissionQueue(List<RankQueue> ranks, int capacityPerRank) {
        this.ranks = ranks;
        this.capacityPerRank = capacityPerRank;
        ImmutableMap.Builder<RankName, Integer> builder = ImmutableMap.builder();
        for (int index = 0; index < ranks.size(); index++) {
            builder.put(ranks.get(index).name(), index);
        }
        order = builder.buildOrThrow();
        for (Access access : Access.values()) {
            meters.put(access, new DepartureMeter());
        }
    }

    /**
     * Returns an empty queue.
     *
     * @param settings the ranks, most urgent first; floor shares that sum to more than 1 are scaled down to 1
     * @param capacityPerRank highest number of waiting items of a rank
     */
    public static RankedAdmissionQueue create(List<RankSettings> settings, int capacityPerRank) {
        checkArgument(!settings.isEmpty(), "there is no rank");
        checkArgument(capacityPerRank >= 1, "capacity is below 1: %s", capacityPerRank);
        double sum = settings.stream().mapToDouble(RankSettings::floorShare).sum();
        double scale = Math.max(1, sum);
        List<RankQueue> ranks = settings.stream()
                .map(rank -> new RankQueue(rank.name(), rank.floorShare() / scale))
                .toList();
        return new RankedAdmissionQueue(ranks, capacityPerRank);
    }

    @Override
    public Either<Failure, List<RejectedItem>> offer(WorkItem item, Duration now) {
        checkArgument(!waiting.containsKey(item.id()), "work item %s is already waiting", item.id());
        Integer index = order.get(item.rank());
        if (index == null) {
            return Either.left(Failure.of(ErrorKind.UNKNOWN_RANK, "The service has no rank " + item.rank() + "."));
        }
        if (item.deadline().compareTo(now) <= 0) {
            return Either.left(LATE);
        }
        ranks.get(index).lane(item.access()).sortOutLate(now, serviceTimes.estimate());
        Duration wait = expectedWait(index, item.access(), item.due());
        if (now.plus(wait).compareTo(item.deadline()) > 0) {
            return Either.left(Failure.of(
                    ErrorKind.DEADLINE_UNREACHABLE,
                    "The work before this would take " + wait.toMillis() + " ms, which is past the deadline."));
        }
        RankQueue rank = ranks.get(index);
        List<RejectedItem> displaced = ImmutableList.of();
        if (rank.size() >= capacityPerRank) {
            Duration serviceTime = serviceTimes.estimate();
            Optional<WorkItem> late = rank.displaceable(now, serviceTime);
            boolean onTime = now.plus(serviceTime).compareTo(item.due()) <= 0;
            if (late.isEmpty() || !onTime) {
                return Either.left(FULL);
            }
            abandon(late.get());
            displaced = ImmutableList.of(new RejectedItem(late.get(), DISPLACED));
        }
        waiting.put(item.id(), item);
        byDeadline.add(item);
        rank.lane(item.access()).add(item, now);
        meters.get(item.access()).arrived(now);
        return Either.right(displaced);
    }

    @Override
    public Optional<WorkItem> poll(StartRule rule, Duration now) {
        Duration serviceTime = serviceTimes.estimate();
        List<RankQueue> startable = new ArrayList<>(ranks.size());
        Optional<WorkItem> urgent = Optional.empty();
        Optional<WorkItem> owed = Optional.empty();
        for (RankQueue rank : ranks) {
            Optional<WorkItem> next = rank.size() == 0 ? Optional.empty() : rank.next(rule, now, serviceTime);
            if (next.isEmpty()) {
                continue;
            }
            startable.add(rank);
            urgent = urgent.isPresent() ? urgent : next;
            owed = owed.isEmpty() && rank.owedFloor() ? next : owed;
        }
        Optional<WorkItem> chosen = owed.isPresent() ? owed : urgent;
        if (chosen.isPresent()) {
            start(chosen.get(), startable, owed.isPresent(), now);
        }
        return chosen;
    }

    private void start(WorkItem item, List<RankQueue> startable, boolean byFloor, Duration now) {
        RankQueue served = ranks.get(order.get(item.rank()));
        served.pay(item.statements(), byFloor);
        for (RankQueue rank : startable) {
            rank.earn(item.statements());
        }
        waiting.remove(item.id());
        byDeadline.remove(item);
        served.lane(item.access()).served(item, now);
        meters.get(item.access()).departed(now);
        served.forfeitWhenEmpty();
    }

    @Override
    public void recordCompletion(WorkItem item, Duration started, Duration now) {
        serviceTimes.add(now.minus(started));
    }

    @Override
    public List<RejectedItem> removeExpired(Duration now) {
        List<RejectedItem> refusals = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().deadline().compareTo(now) <= 0) {
            WorkItem item = byDeadline.first();
            abandon(item);
            refusals.add(new RejectedItem(item, LATE));
        }
        return refusals;
    }

    @Override
    public boolean cancel(long id) {
        WorkItem item = waiting.get(id);
        if (item == null) {
            return false;
        }
        abandon(item);
        return true;
    }

    @Override
    public List<RejectedItem> rejectAll(Failure failure) {
        List<RejectedItem> refusals = new ArrayList<>();
        for (WorkItem item : ImmutableList.copyOf(byDeadline)) {
            abandon(item);
            refusals.add(new RejectedItem(item, failure));
        }
        return refusals;
    }

    private void abandon(WorkItem item) {
        waiting.remove(item.id());
        byDeadline.remove(item);
        RankQueue rank = ranks.get(order.get(item.rank()));
        rank.lane(item.access()).abandoned(item);
        rank.forfeitWhenEmpty();
        meters.get(item.access()).abandoned();
    }

    @Override
    public Optional<Duration> nextDeadline() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().deadline());
    }

    @Override
    public Duration expectedWait(RankName rank, Access access) {
        Integer index = order.get(rank);
        return index == null ? Duration.ZERO : expectedWait(index, access, Duration.ofNanos(Long.MAX_VALUE));
    }

    /**
     * Estimates the wait of an item from the work before it. The estimate is the better of two bounds: all the work of
     * the same access that is more urgent goes first, or the rank is served at its floor share. The pace at which the
     * rank itself was served lately raises it, which accounts for urgent work that keeps arriving.
     */
    private Duration expectedWait(int index, Access access, Duration due) {
        RankQueue rank = ranks.get(index);
        Lane lane = rank.lane(access);
        int own = lane.ahead(due);
        int before = own;
        for (int urgent = 0; urgent < index; urgent++) {
            before += ranks.get(urgent).lane(access).size();
        }
        double interval = meters.get(access).meanNanos().orElse(0.0);
        double estimate = before * interval;
        if (rank.floorShare() > 0) {
            estimate = Math.min(estimate, (own + 1) * interval / rank.floorShare());
        }
        double measured = own * lane.meter().meanNanos().orElse(0.0);
        return Duration.ofNanos((long) Math.max(estimate, measured));
    }

    @Override
    public int size() {
        return waiting.size();
    }

    @Override
    public int size(RankName rank) {
        Integer index = order.get(rank);
        return index == null ? 0 : ranks.get(index).size();
    }
}
