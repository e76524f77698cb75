package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreEra;
import org.lavenderwick.core.store.StoreWrite;

/** A simulated store whose calls may fail, lose their response or take effect late. */
final class SimulatedStore implements FleetStore {

    private static final long FIRST_LEASE = 1000;

    private record Stored(StoreEntry entry, long lease) {}

    private record Copy(Map<String, Stored> entries, Map<Long, Long> leaseTtls, int leaseCount, long revision) {}

    private final Simulation simulation;
    private final RandomGenerator random;
    private final Map<String, Stored> entries = new HashMap<>();
    private final Map<Long, Long> leaseExpiries = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private final Set<Long> grantedLeases = new HashSet<>();
    private final boolean revokesLeases;
    private final boolean bindsWrites;
    private long era = EraRevision.FIRST_ERA;
    private long revision = 10;
    private Copy copy;
    private Optional<Catalog> catalog = Optional.empty();
    private final Map<EndpointName, StoreChange.EndpointChanged> endpoints = new HashMap<>();
    private double faultRate;

    SimulatedStore(Simulation simulation, RandomGenerator random, boolean revokesLeases, boolean bindsWrites) {
        this.simulation = simulation;
        this.random = random;
        this.revokesLeases = revokesLeases;
        this.bindsWrites = bindsWrites;
    }

    @Override
    public Optional<StoreChange> decode(String encoded) {
        throw new UnsupportedOperationException();
    }

    /** Sets the probability that a call fails. */
    void setFaultRate(double rate) {
        faultRate = rate;
    }

    /** Takes a copy of the content, from which {@link #restore} restores it. */
    void copy() {
        Map<Long, Long> leases = new HashMap<>(leaseTtls);
        leases.keySet().retainAll(leaseExpiries.keySet());
        copy = new Copy(Map.copyOf(entries), leases, grantedLeases.size(), revision);
    }

    /** Restores the copy in a new era, in which revisions and leases given out since the copy are given out again. */
    void restore() {
        if (copy == null) {
            return;
        }
        entries.clear();
        entries.putAll(copy.entries());
        leaseTtls.clear();
        leaseTtls.putAll(copy.leaseTtls());
        leaseExpiries.clear();
        leaseTtls.forEach((lease, ttl) -> leaseExpiries.put(lease, simulation.now() + ttl));
        grantedLeases.removeIf(lease -> lease >= FIRST_LEASE + copy.leaseCount());
        revision = copy.revision();
        era++;
    }

    @Override
    public long era() {
        return era;
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
                : Either.right(Optional.ofNullable(entries.get(key))
                        .map(Stored::entry)
                        .map(entry ->
                                new StoreEntry(entry.key(), entry.value(), EraRevision.of(era, entry.revision()))));
    }

    @Override
    public Either<Failure, Optional<Catalog>> readCatalog() {
        return nextCallFails() ? unavailable() : Either.right(catalog);
    }

    @Override
    public Either<Failure, Optional<StoreChange.EndpointChanged>> readEndpoint(EndpointName name) {
        return nextCallFails() ? unavailable() : Either.right(Optional.ofNullable(endpoints.get(name)));
    }

    /** Sets the configuration. */
    void configure(Catalog newCatalog) {
        catalog = Optional.of(newCatalog);
    }

    /** Returns the configuration. */
    Optional<Catalog> catalog() {
        return catalog;
    }

    /** Writes the registration of an endpoint. */
    void register(StoreChange.EndpointChanged registration) {
        revision++;
        endpoints.put(registration.entry().name(), registration);
    }

    /** Removes the registration of an endpoint. */
    void unregister(EndpointName name) {
        revision++;
        endpoints.remove(name);
    }

    /** Returns the registered endpoints. */
    Map<EndpointName, StoreChange.EndpointChanged> endpoints() {
        return Map.copyOf(endpoints);
    }

    /** Returns the revision of the newest change. */
    long revision() {
        return EraRevision.of(era, revision);
    }

    @Override
    public Either<Failure, Long> write(StoreWrite write) {
        long decidedEra = era;
        if (write.expectedRevision() != StoreWrite.ABSENT && EraRevision.era(write.expectedRevision()) != era) {
            return Either.left(Failure.of(ErrorKind.VERSION_CONFLICT, "decided on in an earlier era"));
        }
        if (!nextCallFails()) {
            return apply(write, decidedEra);
        }
        if (random.nextBoolean()) {
            apply(write, decidedEra);
        } else {
            simulation.schedule(random.nextLong(3000), () -> apply(write, decidedEra));
        }
        return unavailable();
    }

    private Either<Failure, Long> apply(StoreWrite write, long decidedEra) {
        removeExpiredLeases();
        Stored stored = entries.get(write.key());
        long expected = EraRevision.revision(write.expectedRevision());
        boolean eraEnded = bindsWrites && entries.containsKey(StoreEra.endKey(decidedEra));
        if (eraEnded || (stored == null ? StoreWrite.ABSENT : stored.entry().revision()) != expected) {
            return Either.left(Failure.of(ErrorKind.VERSION_CONFLICT, "revision changed"));
        }
        if (write.lease() != StoreWrite.NO_LEASE && !leaseExpiries.containsKey(write.lease())) {
            return Either.left(Failure.of(ErrorKind.LEASE_EXPIRED, "lease expired"));
        }
        revision++;
        entries.put(write.key(), new Stored(new StoreEntry(write.key(), write.value(), revision), write.lease()));
        if (decidedEra > EraRevision.FIRST_ERA) {
            String endKey = StoreEra.endKey(decidedEra - 1);
            entries.put(endKey, new Stored(new StoreEntry(endKey, "", revision), StoreWrite.NO_LEASE));
        }
        return Either.right(EraRevision.of(era, revision));
    }

    @Override
    public Either<Failure, Long> grantLease(Duration timeToLive) {
        if (nextCallFails()) {
            return unavailable();
        }
        long lease = FIRST_LEASE + grantedLeases.size();
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
        return Either.right(era);
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
