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

/**
 * An admission queue that serves items in order of arrival, used as the baseline for comparisons. An item that may not
 * start blocks only later items of the same access. All ranks share one capacity and have no priority. Items are
 * rejected if the queue is full or their deadline has passed, never because of an estimated wait.
 */
public final class FifoAdmissionQueue implements AdmissionQueue {

    /** A queued item with its position in the order of arrival. */
    private record Entry(long sequence, WorkItem item) {}

    private final int capacity;
    private final Map<Access, LinkedHashMap<Long, Entry>> entriesByAccess = new EnumMap<>(Access.class);
    private long nextSequence;

    private FifoAdmissionQueue(int capacity) {
        this.capacity = capacity;
        for (Access access : Access.values()) {
            entriesByAccess.put(access, new LinkedHashMap<>());
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param capacity highest number of queued items, at least 1
     */
    public static FifoAdmissionQueue create(int capacity) {
        checkArgument(capacity >= 1, "capacity must be at least 1: %s", capacity);
        return new FifoAdmissionQueue(capacity);
    }

    @Override
    public Either<Failure, List<RejectedItem>> offer(WorkItem item, Duration now) {
        for (Map<Long, Entry> entries : entriesByAccess.values()) {
            checkArgument(!entries.containsKey(item.id()), "work item %s is already queued", item.id());
        }
        if (item.deadline().compareTo(now) <= 0) {
            return Either.left(Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline has passed."));
        }
        if (size() >= capacity) {
            return Either.left(Failure.of(ErrorKind.QUEUE_FULL, "The queue is full."));
        }
        entriesByAccess.get(item.access()).put(item.id(), new Entry(nextSequence++, item));
        return Either.right(ImmutableList.of());
    }

    @Override
    public Optional<WorkItem> poll(StartRule rule, Duration now) {
        Optional<WorkItem> next = entriesByAccess.values().stream()
                .flatMap(entries -> entries.values().stream()
                        .filter(entry -> entry.item().deadline().compareTo(now) > 0)
                        .limit(1))
                .sorted(Comparator.comparingLong(Entry::sequence))
                .map(Entry::item)
                .filter(rule::mayStart)
                .findFirst();
        next.ifPresent(item -> entriesByAccess.get(item.access()).remove(item.id()));
        return next;
    }

    @Override
    public void recordCompletion(WorkItem item, Duration started, Duration now) {}

    @Override
    public List<RejectedItem> removeExpired(Duration now) {
        Failure failure =
                Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before the work could start.");
        List<RejectedItem> rejected = new ArrayList<>();
        for (Map<Long, Entry> entries : entriesByAccess.values()) {
            entries.values().removeIf(entry -> {
                boolean expired = entry.item().deadline().compareTo(now) <= 0;
                if (expired) {
                    rejected.add(new RejectedItem(entry.item(), failure));
                }
                return expired;
            });
        }
        return rejected;
    }

    @Override
    public boolean cancel(long id) {
        return entriesByAccess.values().stream().anyMatch(entries -> entries.remove(id) != null);
    }

    @Override
    public List<RejectedItem> rejectAll(Failure failure) {
        List<RejectedItem> rejected =
                items().map(item -> new RejectedItem(item, failure)).toList();
        entriesByAccess.values().forEach(Map::clear);
        return rejected;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Takes linear time in the number of queued items.
     */
    @Override
    public Optional<Duration> nextDeadline() {
        return items().map(WorkItem::deadline).min(Comparator.naturalOrder());
    }

    /**
     * {@inheritDoc}
     *
     * <p>Always zero, as this queue makes no estimate.
     */
    @Override
    public Duration expectedWait(RankName rank, Access access) {
        return Duration.ZERO;
    }

    @Override
    public int size() {
        return entriesByAccess.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public int size(RankName rank) {
        return (int) items().filter(item -> item.rank().equals(rank)).count();
    }

    private Stream<WorkItem> items() {
        return entriesByAccess.values().stream()
                .flatMap(entries -> entries.values().stream())
                .map(Entry::item);
    }
}
