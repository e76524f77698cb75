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

/** A store whose calls may be refused, lose their answer, or take effect late. */
final class SimulatedStore implements FleetStore {

    private record Stored(StoreEntry entry, long lease) {}

    private final Simulation simulation;
    private final RandomGenerator random;
    private final Map<String, Stored> entries = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTimes = new HashMap<>();
    private final Set<Long> everGranted = new HashSet<>();
    private final boolean leasesEnd;
    private long revision = 10;
    private double faults;

    SimulatedStore(Simulation simulation, RandomGenerator random, boolean leasesEnd) {
        this.simulation = simulation;
        this.random = random;
        this.leasesEnd = leasesEnd;
    }

    @Override
    public Optional<StoreChange> decode(String encoded) {
        throw new UnsupportedOperationException();
    }

    /** Sets the share of calls that go wrong. */
    void faults(double share) {
        faults = share;
    }

    /** Ends a lease without any call. */
    void revokeSome() {
        leaseEnds.keySet().stream().findFirst().ifPresent(this::drop);
    }

    private void expire() {
        Set.copyOf(leaseEnds.keySet()).stream()
                .filter(lease -> leaseEnds.get(lease) <= simulation.now())
                .forEach(this::drop);
    }

    private void drop(long lease) {
        leaseEnds.remove(lease);
        entries.values().removeIf(stored -> stored.lease() == lease);
    }

    private <T> Either<Failure, T> unavailable() {
        return Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "no answer"));
    }

    private boolean fails() {
        expire();
        return random.nextDouble() < faults;
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
        return fails()
                ? unavailable()
                : Either.right(Optional.ofNullable(entries.get(key)).map(Stored::entry));
    }

    @Override
    public Either<Failure, Long> write(StoreWrite write) {
        if (!fails()) {
            return apply(write);
        }
        if (random.nextBoolean()) {
            apply(write);
        } else {
            simulation.after(random.nextLong(3000), () -> apply(write));
        }
        return unavailable();
    }

    private Either<Failure, Long> apply(StoreWrite write) {
        expire();
        Stored stored = entries.get(write.key());
        if ((stored == null ? StoreWrite.ABSENT : stored.entry().revision()) != write.expectedRevision()) {
            return Either.left(Failure.of(ErrorKind.VERSION_CONFLICT, "changed"));
        }
        if (write.lease() != StoreWrite.NO_LEASE && !leaseEnds.containsKey(write.lease())) {
            return Either.left(Failure.of(ErrorKind.LEASE_EXPIRED, "ended"));
        }
        revision++;
        entries.put(write.key(), new Stored(new StoreEntry(write.key(), write.value(), revision), write.lease()));
        return Either.right(revision);
    }

    @Override
    public Either<Failure, Long> grantLease(Duration timeToLive) {
        if (fails()) {
            return unavailable();
        }
        long lease = 1000 + everGranted.size();
        everGranted.add(lease);
        leaseTimes.put(lease, timeToLive.toMillis());
        leaseEnds.put(lease, simulation.now() + timeToLive.toMillis());
        return Either.right(lease);
    }

    @Override
    public Either<Failure, Long> renewLease(long lease) {
        if (fails()) {
            return unavailable();
        }
        if (!leaseEnds.containsKey(lease)) {
            return Either.left(Failure.of(ErrorKind.LEASE_EXPIRED, "ended"));
        }
        leaseEnds.put(lease, simulation.now() + leaseTimes.get(lease));
        return Either.right(lease);
    }

    @Override
    public Either<Failure, Long> revokeLease(long lease) {
        if (fails()) {
            return unavailable();
        }
        if (leasesEnd) {
            drop(lease);
        }
        return Either.right(lease);
    }
}
