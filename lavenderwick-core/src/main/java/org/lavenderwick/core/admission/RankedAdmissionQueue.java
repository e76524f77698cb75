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
 * An admission queue that serves the most urgent rank first and guarantees every rank its floor share of the service.
 *
 * <ul>
 *   <li>Whenever an item starts, each rank with an item that may start, including the rank that is served, earns its
 *       floor share of the item's statements as credit. A rank with credit for a whole statement is served before more
 *       urgent ranks. Service beyond the floor share uses up credit, so a rank that sends too much work has none left
 *       and does not delay more urgent ranks.
 *   <li>Within a rank, items that can still complete by their due time precede late items. While some items are late,
 *       the items on time are served latest due time first.
 *   <li>An item is rejected on arrival if it is estimated to wait beyond its deadline.
 *   <li>Each rank has its own capacity. When a rank is full, a new item that is on time displaces a late item.
 * </ul>
 *
 * <p>{@link #offer}, {@link #poll} and {@link #cancel} take logarithmic time in the number of queued items and linear
 * time in the number of ranks.
 */
public final class RankedAdmissionQueue implements AdmissionQueue {

    private static final Failure DEADLINE_PASSED =
            Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before the work could start.");

    private static final Failure DISPLACED =
            Failure.of(ErrorKind.QUEUE_FULL, "The queue of the rank is full and this work was already late.");

    private static final Failure RANK_FULL = Failure.of(ErrorKind.QUEUE_FULL, "The queue of the rank is full.");

    private final int capacityPerRank;
    private final List<RankQueue> ranks;
    private final Map<RankName, Integer> indexes;
    private final Map<Access, DepartureMeter> departuresByAccess = new EnumMap<>(Access.class);
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
    private final Map<Long, WorkItem> itemsById = new HashMap<>();
    private final NavigableSet<WorkItem> itemsByDeadline = new TreeSet<>(AccessQueue.BY_DEADLINE);

    private RankedAdmissionQueue(List<RankQueue> ranks, int capacityPerRank) {
        this.ranks = ranks;
        this.capacityPerRank = capacityPerRank;
        ImmutableMap.Builder<RankName, Integer> builder = ImmutableMap.builder();
        for (int index = 0; index < ranks.size(); index++) {
            builder.put(ranks.get(index).name(), index);
        }
        indexes = builder.buildOrThrow();
        for (Access access : Access.values()) {
            departuresByAccess.put(access, new DepartureMeter());
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param settings the ranks, most urgent first; if the floor shares sum to more than 1, they are scaled to sum to 1
     * @param capacityPerRank highest number of queued items of each rank, at least 1
     */
    public static RankedAdmissionQueue create(List<RankSettings> settings, int capacityPerRank) {
        checkArgument(!settings.isEmpty(), "at least one rank is required");
        checkArgument(capacityPerRank >= 1, "capacity per rank must be at least 1: %s", capacityPerRank);
        double sum = settings.stream().mapToDouble(RankSettings::floorShare).sum();
        double scale = Math.max(1, sum);
        List<RankQueue> ranks = settings.stream()
                .map(rank -> new RankQueue(rank.name(), rank.floorShare() / scale))
                .toList();
        return new RankedAdmissionQueue(ranks, capacityPerRank);
    }

    @Override
    public Either<Failure, List<RejectedItem>> offer(WorkItem item, Duration now) {
        checkArgument(!itemsById.containsKey(item.id()), "work item %s is already queued", item.id());
        Integer index = indexes.get(item.rank());
        if (index == null) {
            return Either.left(Failure.of(ErrorKind.UNKNOWN_RANK, "The service has no rank " + item.rank() + "."));
        }
        if (item.deadline().compareTo(now) <= 0) {
            return Either.left(DEADLINE_PASSED);
        }
        ranks.get(index).queue(item.access()).moveLateItems(now, serviceTimes.estimate());
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
            Optional<WorkItem> lateItem = rank.displaceable(now, serviceTime);
            boolean onTime = now.plus(serviceTime).compareTo(item.due()) <= 0;
            if (lateItem.isEmpty() || !onTime) {
                return Either.left(RANK_FULL);
            }
            remove(lateItem.get());
            displaced = ImmutableList.of(new RejectedItem(lateItem.get(), DISPLACED));
        }
        itemsById.put(item.id(), item);
        itemsByDeadline.add(item);
        rank.queue(item.access()).add(item, now);
        departuresByAccess.get(item.access()).recordArrival(now);
        return Either.right(displaced);
    }

    @Override
    public Optional<WorkItem> poll(StartRule rule, Duration now) {
        Duration serviceTime = serviceTimes.estimate();
        List<RankQueue> startable = new ArrayList<>(ranks.size());
        Optional<WorkItem> mostUrgent = Optional.empty();
        Optional<WorkItem> withPrecedence = Optional.empty();
        for (RankQueue rank : ranks) {
            Optional<WorkItem> next = rank.size() == 0 ? Optional.empty() : rank.next(rule, now, serviceTime);
            if (next.isEmpty()) {
                continue;
            }
            startable.add(rank);
            mostUrgent = mostUrgent.isPresent() ? mostUrgent : next;
            withPrecedence = withPrecedence.isEmpty() && rank.hasPrecedence() ? next : withPrecedence;
        }
        Optional<WorkItem> chosen = withPrecedence.isPresent() ? withPrecedence : mostUrgent;
        if (chosen.isPresent()) {
            start(chosen.get(), startable, withPrecedence.isPresent(), now);
        }
        return chosen;
    }

    private void start(WorkItem item, List<RankQueue> startable, boolean byPrecedence, Duration now) {
        RankQueue served = ranks.get(indexes.get(item.rank()));
        served.spendCredit(item.statements(), byPrecedence);
        for (RankQueue rank : startable) {
            rank.earnCredit(item.statements());
        }
        itemsById.remove(item.id());
        itemsByDeadline.remove(item);
        served.queue(item.access()).removeServed(item, now);
        departuresByAccess.get(item.access()).recordDeparture(now);
        served.dropCreditIfEmpty();
    }

    @Override
    public void recordCompletion(WorkItem item, Duration started, Duration now) {
        serviceTimes.record(now.minus(started));
    }

    @Override
    public List<RejectedItem> removeExpired(Duration now) {
        List<RejectedItem> rejected = new ArrayList<>();
        while (!itemsByDeadline.isEmpty() && itemsByDeadline.first().deadline().compareTo(now) <= 0) {
            WorkItem item = itemsByDeadline.first();
            remove(item);
            rejected.add(new RejectedItem(item, DEADLINE_PASSED));
        }
        return rejected;
    }

    @Override
    public boolean cancel(long id) {
        WorkItem item = itemsById.get(id);
        if (item == null) {
            return false;
        }
        remove(item);
        return true;
    }

    @Override
    public List<RejectedItem> rejectAll(Failure failure) {
        List<RejectedItem> rejected = new ArrayList<>();
        for (WorkItem item : ImmutableList.copyOf(itemsByDeadline)) {
            remove(item);
            rejected.add(new RejectedItem(item, failure));
        }
        return rejected;
    }

    private void remove(WorkItem item) {
        itemsById.remove(item.id());
        itemsByDeadline.remove(item);
        RankQueue rank = ranks.get(indexes.get(item.rank()));
        rank.queue(item.access()).removeUnserved(item);
        rank.dropCreditIfEmpty();
        departuresByAccess.get(item.access()).recordRemoval();
    }

    @Override
    public Optional<Duration> nextDeadline() {
        return itemsByDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(itemsByDeadline.first().deadline());
    }

    @Override
    public Duration expectedWait(RankName rank, Access access) {
        Integer index = indexes.get(rank);
        return index == null ? Duration.ZERO : expectedWait(index, access, Duration.ofNanos(Long.MAX_VALUE));
    }

    /**
     * Estimates the wait of a new item from the items before it.
     *
     * <p>The wait is bounded in two ways: either all more urgent items of the same access go first, or the rank is
     * served at its floor share. The lower bound of the two applies. If the rank has recently been served more slowly
     * than that, because urgent work keeps arriving, the measured rate of the rank is used instead.
     */
    private Duration expectedWait(int index, Access access, Duration due) {
        RankQueue rank = ranks.get(index);
        AccessQueue queue = rank.queue(access);
        int sameRank = queue.estimateDueBefore(due);
        int itemsBefore = sameRank;
        for (int moreUrgent = 0; moreUrgent < index; moreUrgent++) {
            itemsBefore += ranks.get(moreUrgent).queue(access).size();
        }
        double intervalNanos = departuresByAccess.get(access).meanNanos().orElse(0.0);
        double estimateNanos = itemsBefore * intervalNanos;
        if (rank.floorShare() > 0) {
            estimateNanos = Math.min(estimateNanos, (sameRank + 1) * intervalNanos / rank.floorShare());
        }
        double measuredNanos = sameRank * queue.departures().meanNanos().orElse(0.0);
        return Duration.ofNanos((long) Math.max(estimateNanos, measuredNanos));
    }

    @Override
    public int size() {
        return itemsById.size();
    }

    @Override
    public int size(RankName rank) {
        Integer index = indexes.get(rank);
        return index == null ? 0 : ranks.get(index).size();
    }
}
