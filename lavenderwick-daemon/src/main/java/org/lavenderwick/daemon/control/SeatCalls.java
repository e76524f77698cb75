package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.platform.Lease;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.membership.LeaseOutcome;
import org.lavenderwick.core.membership.SeatAction;
import org.lavenderwick.core.membership.SeatId;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.membership.WriteOutcome;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.daemon.group.EventLoop;

/** Executor of the platform calls that a seat state machine requests. Confined to the control thread. */
final class SeatCalls {
    static final String SEATS_KEY = "membership/seats";
    private static final Logger LOG = Logger.getLogger(SeatCalls.class);

    private final PlatformPort platform;
    private final String leaseHolder;
    private final EventLoop control;
    private final JsonMapper mapper = JsonMappers.create();
    private final Map<SeatId, Lease> leases = new HashMap<>();

    SeatCalls(PlatformPort platform, String leaseHolder, EventLoop control) {
        this.platform = platform;
        this.leaseHolder = leaseHolder;
        this.control = control;
    }

    /** A seat state machine. Its event methods return the actions to perform next. */
    interface Machine {
        /**
         * Called when the seat table and the list of live daemons were read.
         *
         * @param now monotonic time
         * @param table the seat table; empty if the platform has none
         * @param revision revision of the seat table on the platform
         * @param live daemons that are alive according to the platform
         */
        List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live);

        /** Called when the seat table or the list of live daemons could not be read. */
        List<SeatAction> onReadFailed(Duration now);

        /** Called with the outcome of acquiring or renewing a lease. */
        List<SeatAction> onLease(Duration now, LeaseOutcome outcome);

        /** Called with the outcome of writing the seat table. */
        List<SeatAction> onWrite(Duration now, WriteOutcome outcome);

        /** Performs the actions that an event returned. */
        void perform(List<SeatAction> actions);
    }

    /**
     * Performs an action if it is a platform call, and passes the result to the machine later.
     *
     * @return whether the action is a platform call
     */
    boolean perform(SeatAction action, Machine machine) {
        if (action instanceof SeatAction.ReadTable) {
            read(machine);
        } else if (action instanceof SeatAction.AcquireLease acquire) {
            acquire(acquire, machine);
        } else if (action instanceof SeatAction.RenewLease renew) {
            renew(renew, machine);
        } else if (action instanceof SeatAction.ReleaseLease release) {
            Lease lease = leases.remove(release.seat());
            if (lease != null) {
                platform.releaseLease(lease);
            }
        } else if (action instanceof SeatAction.WriteTable write) {
            write(write, machine);
        } else {
            return false;
        }
        return true;
    }

    /** Returns the seat table in a value of the platform; empty if it is malformed. */
    Optional<SeatTable> parse(VersionedValue value) {
        try {
            return Optional.of(mapper.readValue(value.value(), SeatTable.class));
        } catch (JsonProcessingException e) {
            LOG.errorf("[membership] Failed to parse the seat table from the platform: %s", e.getOriginalMessage());
            return Optional.empty();
        }
    }

    private void read(Machine machine) {
        var reads = platform.read(SEATS_KEY).thenCombine(platform.hosts(), Reads::new);
        control.deliver(reads, result -> {
            Duration now = control.now();
            if (result.value.isLeft() || result.hosts.isLeft()) {
                machine.perform(machine.onReadFailed(now));
                return;
            }
            Optional<VersionedValue> value = result.value.get();
            Optional<SeatTable> table = value.flatMap(this::parse);
            if (value.isPresent() && table.isEmpty()) {
                machine.perform(machine.onReadFailed(now));
                return;
            }
            Set<DaemonName> live =
                    result.hosts.get().stream().map(HostEntry::daemon).collect(Collectors.toUnmodifiableSet());
            long revision = value.map(VersionedValue::revision).orElse(PlatformPort.ABSENT);
            machine.perform(machine.onRead(now, table, revision, live));
        });
    }

    private void acquire(SeatAction.AcquireLease action, Machine machine) {
        control.deliver(platform.acquireLease(action.seat().leaseName(), leaseHolder, action.ttl()), result -> {
            result.forEach(lease -> leases.put(action.seat(), lease));
            machine.perform(machine.onLease(control.now(), leaseOutcome(result)));
        });
    }

    private void renew(SeatAction.RenewLease action, Machine machine) {
        Lease lease = leases.get(action.seat());
        if (lease == null) {
            control.execute(() -> machine.perform(machine.onLease(control.now(), LeaseOutcome.REFUSED)));
            return;
        }
        control.deliver(
                platform.renewLease(lease),
                result -> machine.perform(machine.onLease(control.now(), leaseOutcome(result))));
    }

    private void write(SeatAction.WriteTable action, Machine machine) {
        String json;
        try {
            json = mapper.writeValueAsString(action.table());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize the seat table", e);
        }
        control.deliver(platform.compareAndSwap(SEATS_KEY, json, action.expectedRevision()), result -> {
            WriteOutcome outcome = result.isRight()
                    ? WriteOutcome.WRITTEN
                    : isConflict(result.getLeft()) ? WriteOutcome.CONFLICT : WriteOutcome.UNKNOWN;
            machine.perform(machine.onWrite(control.now(), outcome));
        });
    }

    private static LeaseOutcome leaseOutcome(Either<Failure, Lease> result) {
        if (result.isRight()) {
            return LeaseOutcome.GRANTED;
        }
        return isConflict(result.getLeft()) ? LeaseOutcome.REFUSED : LeaseOutcome.UNKNOWN;
    }

    private static boolean isConflict(Failure failure) {
        return failure.kind() == ErrorKind.VERSION_CONFLICT;
    }

    private record Reads(Either<Failure, Optional<VersionedValue>> value, Either<Failure, List<HostEntry>> hosts) {}
}
