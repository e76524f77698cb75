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

/** The control state of a daemon. Public methods may be called from any thread; the rest runs on the control thread. */
public final class ControlPlane {
    private static final Duration DRAIN_LOOK = Duration.ofMillis(20);

    /** Time to give the seat back on the platform; its lease lapses by itself if that fails. */
    private static final Duration FREE_BOUND = Duration.ofSeconds(3);

    /** Time after the drain in which requests that were on their way get a refusal, not a broken connection. */
    private static final Duration LINGER = Duration.ofMillis(500);

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
    private final List<PlatformWatch> watches;

    /**
     * Creates the control state; {@link #start} brings it to life.
     *
     * @param parts what the daemon has made
     * @param factory starts the executor and the drivers of an owned group
     */
    public ControlPlane(ControlParts parts, GroupStarter factory) {
        this.context = parts.context();
        this.control = context.control();
        this.configuration = parts.configuration();
        this.seats = parts.seats();
        this.drain = parts.drain();
        this.groups = new OwnedGroups(
                context.self(),
                placement -> OwnedGroup.start(factory.environment(), factory.nextLoop(), context, placement));
        WireDocuments documents = new WireDocuments();
        this.configurations = new ConfigurationDriver(configuration, documents, installed -> configurationInstalled());
        FailureDomain domain = parts.failureDomain();
        SeatClaim claim = SeatClaim.create(
                context.self().daemon(), context.self().incarnation(), domain, parts.peerAddress(), context.random());
        DeadSeatRemoval retirement = DeadSeatRemoval.create(context.self().daemon(), domain, context.random());
        this.seat = new SeatDriver(control, claim, retirement, seats, context.platform(), new SeatEvents());
        this.exchange = new ExchangeDriver(
                context.self(),
                domain,
                control,
                PeerExchange.create(parts.peerAddress(), domain, parts.seeds(), context.random()),
                parts.peers(),
                parts.exchangeTimeout(),
                configuration,
                seats,
                new ExchangeNews());
        this.watches = List.of(
                watch(
                        ConfigurationDriver.CONFIGURATION_KEY,
                        domain,
                        () -> configuration.version() == 0,
                        configurations::valueSeen),
                watch(
                        SeatCalls.SEATS_KEY,
                        domain,
                        () -> seats.table().version() == 0,
                        value -> seat.calls().parse(value).ifPresent(seat::tableSeen)));
    }

    private PlatformWatch watch(
            String key, FailureDomain domain, BooleanSupplier needsFirst, Consumer<VersionedValue> listener) {
        return new PlatformWatch(
                context.platform(), key, control, context.random(), () -> watches(domain), needsFirst, listener);
    }

    private boolean watches(FailureDomain domain) {
        return seats.table().watchers(domain).stream()
                .anyMatch(held ->
                        held.isHeldBy(context.self().daemon(), context.self().incarnation()));
    }

    /** Starts to claim a seat, to follow the documents and to talk to peers. */
    public void start() {
        control.execute(() -> {
            seat.start();
            exchange.start();
            watches.forEach(PlatformWatch::run);
        });
    }

    /** Returns the groups that this daemon owns. */
    public GroupDirectory groups() {
        return groups;
    }

    /** Returns an exchange that carries no news. */
    public ExchangeRequest question() {
        return exchange.question();
    }

    /** Takes an exchange that a peer started. */
    public CompletableFuture<ExchangeResponse> receive(ExchangeRequest request) {
        return onControl(() -> exchange.receive(request));
    }

    /** Returns the seat whose connection shares the daemon may use. */
    public CompletableFuture<Optional<Seat>> usableSeat() {
        return onControl(seat::usableSeat);
    }

    /** Returns the state of the owned groups. */
    public CompletableFuture<List<GroupReport>> reports() {
        return onControl(groups::all).thenCompose(ControlPlane::reports);
    }

    private static CompletableFuture<List<GroupReport>> reports(Collection<OwnedGroup> owned) {
        List<CompletableFuture<GroupReport>> calls =
                owned.stream().map(group -> group.executor().report()).toList();
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }

    /** Starts a planned change of primary of an owned group. */
    public CompletableFuture<Either<Failure, String>> promote(GroupName group, Optional<EndpointName> target) {
        return onControl(() -> {
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
     * Hands the seat over and waits until the work in flight has ended. The future completes with the state of the
     * drain, when the daemon may be closed.
     */
    public CompletableFuture<DrainState> drain() {
        CompletableFuture<DrainState> done = new CompletableFuture<>();
        drain.begin(control.now());
        control.execute(() -> {
            LOG.infof("[drain] Draining with %d requests in flight.", drain.inFlight());
            seat.leave();
            awaitEnd(done);
        });
        return done;
    }

    private void awaitEnd(CompletableFuture<DrainState> done) {
        DrainState state = drain.tick(control.now());
        if (state == DrainState.DONE || state == DrainState.BOUND_REACHED) {
            LOG.infof("[drain] Ended as %s with %d requests in flight.", state, drain.inFlight());
            groups.clear(Failure.of(ErrorKind.DRAINING, "The daemon is shutting down; use another one."));
            seat.free();
            awaitFreed(
                    control.now().plus(FREE_BOUND),
                    () -> control.scheduleAt(control.now().plus(LINGER), () -> done.complete(state)));
        } else {
            control.scheduleAt(control.now().plus(DRAIN_LOOK), () -> awaitEnd(done));
        }
    }

    private void awaitFreed(Duration until, Runnable then) {
        if (seat.phase() == SeatPhase.FREED || control.now().compareTo(until) >= 0) {
            then.run();
        } else {
            control.scheduleAt(control.now().plus(DRAIN_LOOK), () -> awaitFreed(until, then));
        }
    }

    private <T> CompletableFuture<T> onControl(Supplier<T> task) {
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

    private void configurationInstalled() {
        applyGroups();
        exchange.push();
    }

    private void applyGroups() {
        Owners owners = seats.owners();
        configuration
                .current()
                .ifPresent(current ->
                        groups.apply(current, owners, seat.usableSeat().isPresent()));
    }

    private final class SeatEvents implements SeatDriver.Events {
        @Override
        public void tableInstalled(SeatTable table) {
            exchange.tableInstalled(table);
            applyGroups();
        }

        @Override
        public void notifyFormerHolder(String address) {
            exchange.sendTable(address);
        }

        @Override
        public void usableSeat(Optional<Seat> usable) {
            applyGroups();
        }
    }

    private final class ExchangeNews implements ExchangeDriver.News {
        @Override
        public void seen(WireNews news) {
            configurations.newsSeen(news);
            if (news.isSetSeatTable()) {
                WireDocuments.table(news.getSeatTable()).ifPresent(seat::tableSeen);
            }
        }

        @Override
        public void add(WireNews news, DocumentSelection plan) {
            OptionalLong since = plan.configurationSince();
            configurations.addNews(news, since);
            if (plan.seatTable()) {
                news.setSeatTable(WireDocuments.wire(seats.table()));
            }
        }

        @Override
        public void peerOfOwnDomain(long tableVersion) {
            seat.peerOfOwnDomain(tableVersion);
        }
    }
}
