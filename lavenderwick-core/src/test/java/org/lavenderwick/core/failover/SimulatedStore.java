package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/** A simulated store whose calls may fail, lose their response or take effect late. */
final class SimulatedStore implements FleetStore {

    private record Stored(StoreEntry entry, long lease) {}

    private final Simulation simulation;
    private final RandomGenerator random;
    private final Map<String, Stored> entries = new HashMap<>();
    private final Map<Long, Long> leaseExpiries = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private final Set<Long> grantedLeases = new HashSet<>();
    private final boolean revokesLeases;
    private long revision = 10;
    private double faultRate;

    SimulatedStore(Simulation simulation, RandomGenerator random, boolean revokesLeases) {
        this.simulation = simulation;
        this.random = random;
        this.revokesLeases = revokesLeases;
    }

    @Override
    public Optional<StoreChange> decode(String encoded) {
        throw new UnsupportedOperationException();
    }

    /** Sets the probability that a call fails. */
    void setFaultRate(double rate) {
        faultRate = rate;
    }

    /** Revokes one of the valid leases, as if it had expired early. */
    void revokeAnyLease() {
        leaseExpiries.keySet().stream().findFirst().ifPresent(this::removeLease);
    }

    private void removeExpiredLeases() {
        Set.copyOf(leaseExpiries.keySet()).stream()
                .filter(lease -> leaseExpiries.get(lease) <= simulation.now())
                .forEach(this::removeLease);
    }

    private void removeLease(long lease) {
        leaseExpiries.remove(lease);
        entries.values().removeIf(stored -> stored.lease() == lease);
    }

    private <T> Either<Failure, T> unavailable() {
        return Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "no response"));
    }

    private boolean nextCallFails() {
        removeExpiredLeases();
        return random.nextDouble() < faultRate;
    }

    @Override
    public Either<Failure, StoreChanges> load() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Either<Failure, StoreChanges> awaitChanges(long afterRevision, Duration wait) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Either<Failure, Optional<StoreEntry>> read(String key) {
        return nextCallFails()
                ? unavailable()
                : Either.right(Optional.ofNullable(entries.get(key)).map(Stored::entry));
    }

    @Override
    public Either<Failure, Long> write(StoreWrite write) {
        if (!nextCallFails()) {
            return apply(write);
        }
        if (random.nextBoolean()) {
            apply(write);
        } else {
            simulation.schedule(random.nextLong(3000), () -> apply(write));
        }
        return unavailable();
    }

    private Either<Failure, Long> apply(StoreWrite write) {
        removeExpiredLeases();
        Stored stored = entries.get(write.key());
        if ((stored == null ? StoreWrite.ABSENT : stored.entry().revision()) != write.expectedRevision()) {
            return Either.left(Failure.of(ErrorKind.VERSION_CONFLICT, "revision changed"));
        }
        if (write.lease() != StoreWrite.NO_LEASE && !leaseExpiries.containsKey(write.lease())) {
            return Either.left(Failure.of(ErrorKind.LEASE_EXPIRED, "lease expired"));
        }
        revision++;
        entries.put(write.key(), new Stored(new StoreEntry(write.key(), write.value(), revision), write.lease()));
        return Either.right(revision);
    }

    @Override
    public Either<Failure, Long> grantLease(Duration timeToLive) {
        if (nextCallFails()) {
            return unavailable();
        }
        long lease = 1000 + grantedLeases.size();
        grantedLeases.add(lease);
        leaseTtls.put(lease, timeToLive.toMillis());
        leaseExpiries.put(lease, simulation.now() + timeToLive.toMillis());
        return Either.right(lease);
    }

    @Override
    public Either<Failure, Long> renewLease(long lease) {
        if (nextCallFails()) {
            return unavailable();
        }
        if (!leaseExpiries.containsKey(lease)) {
            return Either.left(Failure.of(ErrorKind.LEASE_EXPIRED, "lease expired"));
        }
        leaseExpiries.put(lease, simulation.now() + leaseTtls.get(lease));
        return Either.right(lease);
    }

    @Override
    public Either<Failure, Long> revokeLease(long lease) {
        if (nextCallFails()) {
            return unavailable();
        }
        if (revokesLeases) {
            removeLease(lease);
        }
        return Either.right(lease);
    }
}
