package org.lavenderwick.standins;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/**
 * Log, data and promised term of one endpoint. They survive a restart of the endpoint. Confined to the lock of its
 * group.
 */
final class Replica {

    private final EndpointName name;
    private final int block;
    private final List<LogEntry> log = new ArrayList<>();
    private final Map<String, JsonNode> data = new HashMap<>();
    private final Map<String, JsonNode> recordedResults = new HashMap<>();
    private final TransactionTable transactions = new TransactionTable();
    private TreeMap<Long, Long> termStarts = new TreeMap<>();
    /** Position of the last entry that was trimmed off the start of the log. */
    private long base;

    private long promisedTerm;
    private boolean primary;
    private Instant pointTime;
    private boolean alive = true;
    private boolean paused;
    private Set<Integer> silentBlocks = Set.of();
    private Replication replication = Replication.PROMPT;
    private double entryAllowance;
    /** Time of the last trimmed entry, or of the start. */
    private Instant baseTime;
    /** Term of the primary that the replica followed last. */
    private long followedTerm = 1;

    Replica(EndpointName name, int block, boolean primary, Instant now) {
        this.name = name;
        this.block = block;
        this.primary = primary;
        this.pointTime = now;
        this.baseTime = now;
        this.promisedTerm = 1;
        this.termStarts.put(1L, 0L);
    }

    EndpointName name() {
        return name;
    }

    TransactionTable transactions() {
        return transactions;
    }

    boolean primary() {
        return primary;
    }

    void primary(boolean changed) {
        primary = changed;
    }

    long term() {
        return termStarts.lastKey();
    }

    long promisedTerm() {
        return promisedTerm;
    }

    /** Promises a term, unless a later one is promised; the age of the data counts on from now. */
    boolean promise(long term, Instant now) {
        if (term <= promisedTerm) {
            return false;
        }
        pointTime = pointTime(now);
        promisedTerm = term;
        return true;
    }

    void beginTerm(long term, long start) {
        termStarts.put(term, start);
    }

    boolean sealed() {
        return promisedTerm > term();
    }

    /** Returns the time up to which the data are known to be complete. */
    Instant pointTime(Instant now) {
        return primary && !sealed() ? now : pointTime;
    }

    long position() {
        return base + log.size();
    }

    LogPoint point() {
        return LogPoint.of(term(), position());
    }

    Optional<JsonNode> value(String key) {
        return Optional.ofNullable(data.get(key));
    }

    Optional<JsonNode> recordedResults(String idempotencyKey) {
        return Optional.ofNullable(recordedResults.get(idempotencyKey));
    }

    /** Returns the lowest position at which a term after the given one starts, if there is one. */
    Optional<Long> startAfter(long term) {
        return termStarts.tailMap(term, false).values().stream().min(Long::compare);
    }

    EndpointStatus status(Instant now) {
        return new EndpointStatus(
                name,
                primary,
                Term.of(term()),
                Term.of(promisedTerm),
                point(),
                pointTime(now),
                transactions.openTransactions());
    }

    void append(LogEntry entry) {
        log.add(entry);
        entry.changes().forEach(change -> data.put(change.key(), change.after()));
        entry.idempotencyKey().ifPresent(key -> recordedResults.put(key, entry.results()));
    }

    /** Drops all entries after the position and undoes their changes. */
    void truncate(long position) {
        while (position() > position) {
            LogEntry entry = log.remove(log.size() - 1);
            for (int i = entry.changes().size() - 1; i >= 0; i--) {
                LogEntry.Change change = entry.changes().get(i);
                if (change.before() == null) {
                    data.remove(change.key());
                } else {
                    data.put(change.key(), change.before());
                }
            }
            entry.idempotencyKey().ifPresent(recordedResults::remove);
        }
        termStarts.values().removeIf(start -> start > position);
    }

    /** Returns the entry at the position, or null if it has been trimmed. */
    LogEntry entry(long position) {
        return position <= base ? null : log.get((int) (position - base - 1));
    }

    /** Forgets entries up to the position, which all replicas share; they can no longer be truncated. */
    void trim(long position) {
        if (position > base) {
            baseTime = entry(position).time();
            log.subList(0, (int) (position - base)).clear();
            base = position;
        }
    }

    /** Returns the last position up to which both logs agree. */
    long commonPosition(Replica other) {
        long position = Math.min(position(), other.position());
        while (position > base && position > other.base && entry(position) != other.entry(position)) {
            position--;
        }
        return position;
    }

    /**
     * Applies the primary's next entry if it was committed by the given time and the speed allows it. The logs must
     * agree so far.
     */
    Optional<LogEntry> applyNext(Replica from, Instant horizon) {
        if (position() >= from.position() || entryAllowance < 1) {
            return Optional.empty();
        }
        LogEntry next = from.entry(position() + 1);
        if (next.time().isAfter(horizon)) {
            return Optional.empty();
        }
        entryAllowance--;
        append(next);
        return Optional.of(next);
    }

    /** Takes over the term starts that the log has reached, and the age of the data. */
    void adoptHistory(Replica from, Instant horizon, boolean truncated) {
        TreeMap<Long, Long> reached = new TreeMap<>(from.termStarts);
        reached.values().removeIf(start -> start > position());
        termStarts = reached;
        // A time heard from another primary says nothing about the data of this one.
        boolean reset = truncated || followedTerm != from.term();
        followedTerm = from.term();
        if (promisedTerm != from.term()) {
            // Promised a later term: this primary's word on how fresh the data are no longer counts.
            return;
        }
        boolean complete = position() == from.position()
                || from.entry(position() + 1).time().isAfter(horizon);
        Instant time = complete ? horizon : lastEntryTime();
        if (reset || time.isAfter(pointTime)) {
            pointTime = time;
        }
    }

    private Instant lastEntryTime() {
        return log.isEmpty() ? baseTime : log.get(log.size() - 1).time();
    }

    boolean reaches(Replica other) {
        return alive
                && other.alive
                && !paused
                && !other.paused
                && !silentBlocks.contains(other.block)
                && !other.silentBlocks.contains(block);
    }

    boolean alive() {
        return alive;
    }

    void alive(boolean changed) {
        alive = changed;
    }

    boolean paused() {
        return paused;
    }

    void paused(boolean changed) {
        paused = changed;
    }

    void silentBlocks(Set<Integer> changed) {
        silentBlocks = changed;
    }

    Replication replication() {
        return replication;
    }

    void replication(Replication changed) {
        replication = changed;
        entryAllowance = 0;
    }

    /** Grants entries for the time since the last call, at most those of one second. */
    void grantEntries(double seconds) {
        if (replication.entriesPerSecond() == Integer.MAX_VALUE) {
            entryAllowance = Integer.MAX_VALUE;
            return;
        }
        entryAllowance = Math.min(
                replication.entriesPerSecond(), entryAllowance + Math.max(0, seconds) * replication.entriesPerSecond());
    }
}
