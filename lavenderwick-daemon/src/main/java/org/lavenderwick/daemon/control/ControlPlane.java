package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.core.drain.DrainState;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.membership.DeadSeatRemoval;
import org.lavenderwick.core.membership.DocumentSelection;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.PeerExchange;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatClaim;
import org.lavenderwick.core.membership.SeatPhase;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.daemon.entry.GroupDirectory;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupReport;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.WireNews;

/**
 * Control plane of a daemon, which manages its seat, the configuration, the seat table and the owned groups. Public
 * methods may be called from any thread; everything else runs on the control thread.
 */
public final class ControlPlane {
    /** Interval between checks of the progress of a drain. */
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

    /** Timeout of the release of the seat on the platform. If the release fails, the lease of the seat expires. */
    private static final Duration SEAT_RELEASE_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Time that the daemon keeps running after a drain, so that requests already on their way are rejected with a
     * response and do not see a broken connection.
     */
    private static final Duration LINGER_TIME = Duration.ofMillis(500);

    private static final Logger LOG = Logger.getLogger(ControlPlane.class);

    private final ControlContext context;
    private final EventLoop control;
    private final ConfigurationHolder configuration;
    private final SeatTableHolder seats;
    private final Drain drain;
    private final OwnedGroups groups;
    private final ConfigurationDriver configurations;
    private final SeatDriver seat;
    private final ExchangeDriver exchange;
    private final List<PlatformKeyWatcher> watchers;

    /**
     * Creates a control plane, which does nothing before {@link #start}.
     *
     * @param parts dependencies and settings
     * @param groupStarter supplies the environment and the event loops of owned groups
     */
    public ControlPlane(ControlParts parts, GroupStarter groupStarter) {
        this.context = parts.context();
        this.control = context.control();
        this.configuration = parts.configuration();
        this.seats = parts.seats();
        this.drain = parts.drain();
        this.groups = new OwnedGroups(
                context.self(),
                placement -> OwnedGroup.start(groupStarter.environment(), groupStarter.nextLoop(), context, placement));
        WireDocuments documents = new WireDocuments();
        this.configurations =
                new ConfigurationDriver(configuration, documents, installed -> onConfigurationInstalled());
        FailureDomain domain = parts.failureDomain();
        SeatClaim claim = SeatClaim.create(
                context.self().daemon(), context.self().incarnation(), domain, parts.peerAddress(), context.random());
        DeadSeatRemoval deadSeatRemoval = DeadSeatRemoval.create(context.self().daemon(), domain, context.random());
        this.seat = new SeatDriver(control, claim, deadSeatRemoval, seats, context.platform(), new SeatListener());
        this.exchange = new ExchangeDriver(
                context.self(),
                domain,
                control,
                PeerExchange.create(parts.peerAddress(), domain, parts.seeds(), context.random()),
                parts.peers(),
                parts.exchangeTimeout(),
                configuration,
                seats,
                new DocumentAccess());
        this.watchers = List.of(
                newWatcher(
                        ConfigurationDriver.CONFIGURATION_KEY,
                        domain,
                        () -> configuration.version() == 0,
                        configurations::onPlatformValue),
                newWatcher(
                        SeatCalls.SEATS_KEY,
                        domain,
                        () -> seats.table().version() == 0,
                        value -> seat.calls().parse(value).ifPresent(seat::onTable)));
    }

    private PlatformKeyWatcher newWatcher(
            String key, FailureDomain domain, BooleanSupplier needsInitialValue, Consumer<VersionedValue> listener) {
        return new PlatformKeyWatcher(
                context.platform(),
                key,
                control,
                context.random(),
                () -> isWatcher(domain),
                needsInitialValue,
                listener);
    }

    private boolean isWatcher(FailureDomain domain) {
        return seats.table().watchers(domain).stream()
                .anyMatch(held ->
                        held.isHeldBy(context.self().daemon(), context.self().incarnation()));
    }

    /** Starts claiming a seat, exchanging documents with peers and watching the documents on the platform. */
    public void start() {
        control.execute(() -> {
            seat.start();
            exchange.start();
            watchers.forEach(PlatformKeyWatcher::poll);
        });
    }

    /** Returns a directory of the groups that this daemon owns. */
    public GroupDirectory groups() {
        return groups;
    }

    /** Returns an exchange request that carries the digest of this daemon and no documents. */
    public ExchangeRequest question() {
        return exchange.newRequest();
    }

    /** Handles an exchange that a peer started and returns the response. */
    public CompletableFuture<ExchangeResponse> receive(ExchangeRequest request) {
        return callOnControlThread(() -> exchange.receive(request));
    }

    /** Returns the seat whose connection shares this daemon may use; empty if it may use none. */
    public CompletableFuture<Optional<Seat>> usableSeat() {
        return callOnControlThread(seat::usableSeat);
    }

    /** Returns reports on the state of all owned groups. */
    public CompletableFuture<List<GroupReport>> reports() {
        return callOnControlThread(groups::all).thenCompose(ControlPlane::reports);
    }

    private static CompletableFuture<List<GroupReport>> reports(Collection<OwnedGroup> owned) {
        List<CompletableFuture<GroupReport>> calls =
                owned.stream().map(group -> group.executor().report()).toList();
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }

    /**
     * Starts a planned switchover of an owned group.
     *
     * @param group the group
     * @param target the endpoint to promote; empty to let the coordinator select one
     * @return a message for the operator, or a failure if the switchover was not started
     */
    public CompletableFuture<Either<Failure, String>> promote(GroupName group, Optional<EndpointName> target) {
        return callOnControlThread(() -> {
            Optional<OwnedGroup> owned = groups.group(group);
            if (owned.isPresent()) {
                return owned.get().promotion().switchOver(target);
            }
            return configuration.require().flatMap(current -> {
                if (!current.groups().containsKey(group)) {
                    return Either.left(
                            Failure.of(ErrorKind.UNKNOWN_GROUP, "There is no database group " + group + "."));
                }
                String owner = seats.owners().ownersOf(current.groups().get(group)).stream()
                        .findFirst()
                        .map(lead -> "its lead owner is " + lead.daemon())
                        .orElse("it has no owner");
                return Either.left(Failure.of(
                        ErrorKind.OWNER_UNREACHABLE, "This daemon does not own " + group + "; " + owner + "."));
            });
        });
    }

    /**
     * Starts handing over the seat and drains the requests in flight. The future completes with the final state of the
     * drain once the daemon may be closed.
     */
    public CompletableFuture<DrainState> drain() {
        CompletableFuture<DrainState> done = new CompletableFuture<>();
        drain.begin(control.now());
        control.execute(() -> {
            LOG.infof("[drain] Started draining with %d requests in flight.", drain.inFlight());
            seat.leave();
            awaitDrainEnd(done);
        });
        return done;
    }

    private void awaitDrainEnd(CompletableFuture<DrainState> done) {
        DrainState state = drain.tick(control.now());
        if (state == DrainState.DONE || state == DrainState.BOUND_REACHED) {
            LOG.infof(
                    "[drain] Drain ended as %s with %d requests in flight; rejecting the rest and releasing the seat.",
                    state, drain.inFlight());
            groups.closeAll(Failure.of(ErrorKind.DRAINING, "The daemon is shutting down; use another one."));
            seat.release();
            awaitSeatReleased(
                    control.now().plus(SEAT_RELEASE_TIMEOUT),
                    () -> control.scheduleAt(control.now().plus(LINGER_TIME), () -> done.complete(state)));
        } else {
            control.scheduleAt(control.now().plus(DRAIN_CHECK_INTERVAL), () -> awaitDrainEnd(done));
        }
    }

    private void awaitSeatReleased(Duration deadline, Runnable then) {
        if (seat.phase() == SeatPhase.FREED || control.now().compareTo(deadline) >= 0) {
            then.run();
        } else {
            control.scheduleAt(control.now().plus(DRAIN_CHECK_INTERVAL), () -> awaitSeatReleased(deadline, then));
        }
    }

    private <T> CompletableFuture<T> callOnControlThread(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        control.execute(() -> {
            try {
                result.complete(task.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    private void onConfigurationInstalled() {
        updateGroups();
        exchange.push();
    }

    private void updateGroups() {
        Owners owners = seats.owners();
        configuration
                .current()
                .ifPresent(current ->
                        groups.apply(current, owners, seat.usableSeat().isPresent()));
    }

    private final class SeatListener implements SeatDriver.Listener {
        @Override
        public void onTableInstalled(SeatTable table) {
            exchange.onTableInstalled(table);
            updateGroups();
        }

        @Override
        public void onFormerHolder(String address) {
            exchange.sendTable(address);
        }

        @Override
        public void onUsableSeatChanged(Optional<Seat> usable) {
            updateGroups();
        }
    }

    private final class DocumentAccess implements ExchangeDriver.Documents {
        @Override
        public void onReceived(WireNews news) {
            configurations.onPeerNews(news);
            if (news.isSetSeatTable()) {
                WireDocuments.fromWire(news.getSeatTable()).ifPresent(seat::onTable);
            }
        }

        @Override
        public void add(WireNews news, DocumentSelection selection) {
            OptionalLong since = selection.configurationSince();
            configurations.addMissing(news, since);
            if (selection.seatTable()) {
                news.setSeatTable(WireDocuments.toWire(seats.table()));
            }
        }

        @Override
        public void onPeerInSameDomain(long tableVersion) {
            seat.onPeerInSameDomain(tableVersion);
        }
    }
}
