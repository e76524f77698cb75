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

/** Performs the platform calls of a seat state machine and reports their answers. Confined to the control thread. */
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

    /** The events of a seat state machine. Each returns the next actions. */
    interface Machine {
        List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live);

        List<SeatAction> onReadFailed(Duration now);

        List<SeatAction> onLease(Duration now, LeaseOutcome answer);

        List<SeatAction> onWrite(Duration now, WriteOutcome answer);

        /** Performs the actions that an event returned. */
        void perform(List<SeatAction> actions);
    }

    /** Performs an action if it is a platform call, and returns whether it was. */
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

    /** Parses a seat table from the platform; empty if it cannot be read. */
    Optional<SeatTable> parse(VersionedValue value) {
        try {
            return Optional.of(mapper.readValue(value.value(), SeatTable.class));
        } catch (JsonProcessingException e) {
            LOG.errorf("[membership] The seat table cannot be read: %s", e.getOriginalMessage());
            return Optional.empty();
        }
    }

    private void read(Machine machine) {
        var reads = platform.read(SEATS_KEY).thenCombine(platform.hosts(), Reads::new);
        control.deliver(reads, answer -> {
            Duration now = control.now();
            if (answer.value.isLeft() || answer.hosts.isLeft()) {
                machine.perform(machine.onReadFailed(now));
                return;
            }
            Optional<VersionedValue> value = answer.value.get();
            Optional<SeatTable> table = value.flatMap(this::parse);
            if (value.isPresent() && table.isEmpty()) {
                machine.perform(machine.onReadFailed(now));
                return;
            }
            Set<DaemonName> live =
                    answer.hosts.get().stream().map(HostEntry::daemon).collect(Collectors.toUnmodifiableSet());
            long revision = value.map(VersionedValue::revision).orElse(PlatformPort.ABSENT);
            machine.perform(machine.onRead(now, table, revision, live));
        });
    }

    private void acquire(SeatAction.AcquireLease action, Machine machine) {
        control.deliver(platform.acquireLease(action.seat().leaseName(), leaseHolder, action.ttl()), answer -> {
            answer.forEach(lease -> leases.put(action.seat(), lease));
            machine.perform(machine.onLease(control.now(), leaseAnswer(answer)));
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
                answer -> machine.perform(machine.onLease(control.now(), leaseAnswer(answer))));
    }

    private void write(SeatAction.WriteTable action, Machine machine) {
        String json;
        try {
            json = mapper.writeValueAsString(action.table());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a seat table cannot be written", e);
        }
        control.deliver(platform.compareAndSwap(SEATS_KEY, json, action.expectedRevision()), answer -> {
            WriteOutcome written = answer.isRight()
                    ? WriteOutcome.WRITTEN
                    : conflict(answer.getLeft()) ? WriteOutcome.CONFLICT : WriteOutcome.UNKNOWN;
            machine.perform(machine.onWrite(control.now(), written));
        });
    }

    private static LeaseOutcome leaseAnswer(Either<Failure, Lease> answer) {
        if (answer.isRight()) {
            return LeaseOutcome.GRANTED;
        }
        return conflict(answer.getLeft()) ? LeaseOutcome.REFUSED : LeaseOutcome.UNKNOWN;
    }

    private static boolean conflict(Failure failure) {
        return failure.kind() == ErrorKind.VERSION_CONFLICT;
    }

    private record Reads(Either<Failure, Optional<VersionedValue>> value, Either<Failure, List<HostEntry>> hosts) {}
}
