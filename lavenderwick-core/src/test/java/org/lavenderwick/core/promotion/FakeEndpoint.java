package org.lavenderwick.core.promotion;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** An in-memory endpoint. Its log and promised term survive a restart; open transactions are rolled back. */
final class FakeEndpoint {

    record Entry(long term, int write) {}

    final EndpointName name;
    final int node;

    private final List<Entry> log = new ArrayList<>();
    private final Set<Integer> openTransactions = new HashSet<>();
    private long term = 1;
    private long promised = 1;
    private boolean primary;

    FakeEndpoint(String name, int node, boolean primary) {
        this.name = EndpointName.of(name);
        this.node = node;
        this.primary = primary;
    }

    EndpointReport report() {
        LogPoint point = log.isEmpty()
                ? LogPoint.START
                : LogPoint.of(log.get(log.size() - 1).term(), log.size());
        return new EndpointReport(
                name, primary, Term.of(term), Term.of(promised), point, Instant.EPOCH, openTransactions.size());
    }

    EndpointReport seal(long newTerm) {
        promised = Math.max(promised, newTerm);
        return report();
    }

    /**
     * Becomes primary of the term and truncates the log to its start position. Does nothing if a later term is promised
     * or the log is too short.
     */
    EndpointReport promote(long newTerm, long start) {
        boolean served = primary && term == newTerm;
        if (promised <= newTerm && !served && log.size() >= start) {
            log.subList((int) start, log.size()).clear();
            openTransactions.clear();
            term = newTerm;
            promised = newTerm;
            primary = true;
        }
        return report();
    }

    /** Opens a transaction and returns whether it could: the endpoint must be the unsealed primary of the term. */
    boolean begin(long expectedTerm, int write) {
        return primary && term == expectedTerm && promised == term && openTransactions.add(write);
    }

    /**
     * Commits a transaction and returns its log position, or 0 if it was rolled back. A sealed primary still commits
     * open transactions.
     */
    int commit(int write) {
        if (!openTransactions.remove(write)) {
            return 0;
        }
        log.add(new Entry(term, write));
        return log.size();
    }

    /** Replicates up to the given number of entries from a primary of the same or a later term. */
    void replicateFrom(FakeEndpoint source, int limit) {
        if (!source.primary || source.term < term || source == this) {
            return;
        }
        if (source.term > term) {
            term = source.term;
            promised = Math.max(promised, term);
            primary = false;
            openTransactions.clear();
        }
        int common = 0;
        while (common < Math.min(log.size(), source.log.size())
                && log.get(common).equals(source.log.get(common))) {
            common++;
        }
        log.subList(common, log.size()).clear();
        log.addAll(source.log.subList(common, Math.min(source.log.size(), common + limit)));
    }

    void restart() {
        openTransactions.clear();
    }

    boolean serves(long wanted) {
        return primary && term == wanted;
    }

    /**
     * Returns whether the log has no entry of an earlier term past the start of the given term. Sessions treat such
     * entries as lost.
     */
    boolean agreesWith(TermStart later) {
        return log.stream()
                .skip(later.position())
                .allMatch(entry -> entry.term() >= later.term().number());
    }

    boolean contains(int write, int position) {
        return position <= log.size() && log.get(position - 1).write() == write;
    }
}
