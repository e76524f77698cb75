package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/** The baseline: first in, first out within an access, one bounded queue for all ranks, no early refusal. */
public final class FifoAdmissionQueue implements AdmissionQueue {

    private record Entry(long sequence, WorkItem item) {}

    private final int capacity;
    private final Map<Access, LinkedHashMap<Long, Entry>> lanes = new EnumMap<>(Access.class);
    private long nextSequence;

    private FifoAdmissionQueue(int capacity) {
        this.capacity = capacity;
        for (Access access : Access.values()) {
            lanes.put(access, new LinkedHashMap<>());
        }
    }

    /** Returns an empty queue that holds at most the given number of items. */
    public static FifoAdmissionQueue create(int capacity) {
        checkArgument(capacity >= 1, "capacity is below 1: %s", capacity);
        return new FifoAdmissionQueue(capacity);
    }

    @Override
    public Either<Failure, List<RejectedItem>> offer(WorkItem item, Duration now) {
        for (Map<Long, Entry> lane : lanes.values()) {
            checkArgument(!lane.containsKey(item.id()), "work item %s is already waiting", item.id());
        }
        if (item.deadline().compareTo(now) <= 0) {
            return Either.left(Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline has passed."));
        }
        if (size() >= capacity) {
            return Either.left(Failure.of(ErrorKind.QUEUE_FULL, "The queue is full."));
        }
        lanes.get(item.access()).put(item.id(), new Entry(nextSequence++, item));
        return Either.right(ImmutableList.of());
    }

    @Override
    public Optional<WorkItem> poll(StartRule rule, Duration now) {
        Optional<WorkItem> next = lanes.values().stream()
                .flatMap(lane -> lane.values().stream()
                        .filter(entry -> entry.item().deadline().compareTo(now) > 0)
                        .limit(1))
                .sorted(Comparator.comparingLong(Entry::sequence))
                .map(Entry::item)
                .filter(rule::mayStart)
                .findFirst();
        next.ifPresent(item -> lanes.get(item.access()).remove(item.id()));
        return next;
    }

    @Override
    public void recordCompletion(WorkItem item, Duration started, Duration now) {}

    @Override
    public List<RejectedItem> removeExpired(Duration now) {
        Failure failure =
                Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before the work could start.");
        List<RejectedItem> refusals = new ArrayList<>();
        for (Map<Long, Entry> lane : lanes.values()) {
            lane.values().removeIf(entry -> {
                boolean expired = entry.item().deadline().compareTo(now) <= 0;
                if (expired) {
                    refusals.add(new RejectedItem(entry.item(), failure));
                }
                return expired;
            });
        }
        return refusals;
    }

    @Override
    public boolean cancel(long id) {
        return lanes.values().stream().anyMatch(lane -> lane.remove(id) != null);
    }

    @Override
    public List<RejectedItem> rejectAll(Failure failure) {
        List<RejectedItem> refusals =
                items().map(item -> new RejectedItem(item, failure)).toList();
        lanes.values().forEach(Map::clear);
        return refusals;
    }

    /** {@inheritDoc} Linear in the number of waiting items. */
    @Override
    public Optional<Duration> nextDeadline() {
        return items().map(WorkItem::deadline).min(Comparator.naturalOrder());
    }

    /** {@inheritDoc} Always zero: the baseline makes no estimate. */
    @Override
    public Duration expectedWait(RankName rank, Access access) {
        return Duration.ZERO;
    }

    @Override
    public int size() {
        return lanes.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public int size(RankName rank) {
        return (int) items().filter(item -> item.rank().equals(rank)).count();
    }

    private Stream<WorkItem> items() {
        return lanes.values().stream().flatMap(lane -> lane.values().stream()).map(Entry::item);
    }
}
