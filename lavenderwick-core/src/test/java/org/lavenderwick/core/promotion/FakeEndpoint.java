package org.lavenderwick.core.promotion;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** An endpoint with a log that keeps its promise and its log across restarts; open transactions roll back. */
final class FakeEndpoint {

    record Entry(long term, int write) {}

    final EndpointName name;
    final int node;

    private final List<Entry> log = new ArrayList<>();
    private final Set<Integer> open = new HashSet<>();
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
        return new EndpointReport(name, primary, Term.of(term), Term.of(promised), point, Instant.EPOCH, open.size());
    }

    EndpointReport seal(long newTerm) {
        promised = Math.max(promised, newTerm);
        return report();
    }

    /** Becomes primary of the term with the log up to the start; refuses if it has promised a later term. */
    EndpointReport promote(long newTerm, long start) {
        boolean served = primary && term == newTerm;
        if (promised <= newTerm && !served && log.size() >= start) {
            log.subList((int) start, log.size()).clear();
            open.clear();
            term = newTerm;
            promised = newTerm;
            primary = true;
        }
        return report();
    }

    /** Opens a transaction, unless this is not the unsealed primary of the term. */
    boolean begin(long expectedTerm, int write) {
        return primary && term == expectedTerm && promised == term && open.add(write);
    }

    /** Commits a transaction and returns its position, or 0 if it was rolled back. A sealed primary still commits. */
    int commit(int write) {
        if (!open.remove(write)) {
            return 0;
        }
        log.add(new Entry(term, write));
        return log.size();
    }

    /** Takes up to the given number of entries from a primary of the same or a later term. */
    void replicateFrom(FakeEndpoint source, int limit) {
        if (!source.primary || source.term < term || source == this) {
            return;
        }
        if (source.term > term) {
            term = source.term;
            promised = Math.max(promised, term);
            primary = false;
            open.clear();
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
        open.clear();
    }

    boolean serves(long wanted) {
        return primary && term == wanted;
    }

    /** Returns whether no entry of an earlier term lies past the start of the term, where sessions count it as lost. */
    boolean agreesWith(TermStart later) {
        return log.stream()
                .skip(later.position())
                .allMatch(entry -> entry.term() >= later.term().number());
    }

    boolean has(int write, int position) {
        return position <= log.size() && log.get(position - 1).write() == write;
    }
}
