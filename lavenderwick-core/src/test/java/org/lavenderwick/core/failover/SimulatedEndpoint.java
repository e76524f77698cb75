package org.lavenderwick.core.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;

/** The state of one endpoint of a {@link SimulatedGroup}. */
final class SimulatedEndpoint {

    /** A committed write, with the endpoints that have received it from the primary. */
    static final class Commit {
        final long term;
        final Set<EndpointName> receivers = new HashSet<>();

        Commit(long term) {
            this.term = term;
        }
    }

    final int domain;
    boolean primary;
    long term = 1;
    long promisedTerm;
    boolean crashed;
    long startedAt;
    boolean isolated;
    boolean disconnected;
    boolean storeCut;
    boolean draining;
    boolean separated;
    final Set<Integer> unreachableFrom = new HashSet<>();
    List<Commit> log = new ArrayList<>();

    SimulatedEndpoint(int domain) {
        this.domain = domain;
    }

    EndpointReport report() {
        return new EndpointReport(
                primary ? EndpointRole.PRIMARY : EndpointRole.REPLICA,
                term,
                LogPoint.of(log.isEmpty() ? 1 : log.get(log.size() - 1).term, log.size()),
                promisedTerm);
    }

    /** Copies the log of a primary, after dropping what that does not have. */
    void copyLog(EndpointName name, SimulatedEndpoint source) {
        int common = Math.min(log.size(), source.log.size());
        while (common > 0 && log.get(common - 1) != source.log.get(common - 1)) {
            common--;
        }
        log.subList(common, log.size()).clear();
        for (Commit commit : source.log.subList(common, source.log.size())) {
            log.add(commit);
            commit.receivers.add(name);
        }
    }

    /** Learns of a new primary. A promise for a later term than that is kept: it ends only with a promotion. */
    void follow(long newTerm) {
        if (!crashed && !primary && term < newTerm) {
            term = newTerm;
            promisedTerm = promisedTerm > newTerm ? promisedTerm : 0;
        }
    }

    void demoteFor(long newTerm) {
        if (!crashed && term < newTerm) {
            primary = false;
            term = newTerm;
        }
    }
}
