package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** A process that runs coordinators: performs their actions, and can pause at any event and restart. */
final class CoordinatorHost {

    private final PromotionRun run;
    private final SimulatedNetwork network;
    private final int node;
    private final SimulatedNetwork.Clock clock;
    private PromotionCoordinator coordinator;
    private int instance;
    private long pausedUntil;
    private long wakes;

    CoordinatorHost(PromotionRun run, int node) {
        this.run = run;
        this.network = run.network;
        this.node = node;
        this.clock = SimulatedNetwork.Clock.drifting(
                network.random, run.guards.holder().clockDriftBound());
    }

    boolean isIdle() {
        return coordinator == null;
    }

    void start(PromotionRequest request) {
        instance++;
        coordinator = PromotionCoordinator.create(
                "node" + node + "-" + instance, run.endpointNames(), run.guards.coordinator(), network.random);
        event(instance, known -> known.start(request, now()));
    }

    void pause(long length) {
        pausedUntil = network.now() + length;
    }

    void resume() {
        pausedUntil = 0;
    }

    void restart() {
        instance++;
        coordinator = null;
    }

    private Duration now() {
        return Duration.ofNanos(clock.local(network.now()));
    }

    private void event(int of, Function<PromotionCoordinator, List<PromotionAction>> event) {
        if (of != instance || coordinator == null) {
            return;
        }
        if (network.now() < pausedUntil) {
            network.at(pausedUntil, () -> event(of, event));
            return;
        }
        List<PromotionAction> actions = event.apply(coordinator);
        if (!network.isHealed() && network.random.nextInt(150) == 0) {
            // The pause falls between the decision and its effect.
            pause(run.randomPause());
            network.at(pausedUntil, () -> perform(of, actions));
        } else {
            perform(of, actions);
        }
    }

    private void perform(int of, List<PromotionAction> actions) {
        if (of == instance) {
            actions.forEach(action -> perform(of, action));
        }
    }

    private void perform(int of, PromotionAction action) {
        if (action instanceof PromotionAction.PlatformCall call) {
            performOnPlatform(of, call);
        } else if (action instanceof PromotionAction.Seal seal) {
            if (run.guards.forgesSeals() && network.random.nextBoolean()) {
                EndpointReport forged = forgedAcceptance(seal.endpoint(), seal.term());
                network.after(
                        SimulatedNetwork.MILLIS,
                        () -> event(of, known -> known.onEndpointResponse(seal, forged, now())));
                return;
            }
            callEndpoint(of, seal, endpoint -> endpoint.seal(seal.term().number()));
        } else if (action instanceof PromotionAction.Promote promote) {
            callEndpoint(
                    of,
                    promote,
                    endpoint -> run.promote(endpoint, promote.term().number(), promote.startPosition()));
        } else if (action instanceof PromotionAction.WakeAt wake) {
            long number = ++wakes;
            network.at(
                    clock.time(wake.at().toNanos()) + 2,
                    () -> event(of, known -> number == wakes ? known.tick(now()) : List.of()));
        } else if (action instanceof PromotionAction.Finished finished) {
            coordinator = null;
            if (finished.outcome() == PromotionOutcome.REOPENED) {
                run.count(PromotionRun.Event.REOPENED);
            }
        }
    }

    private void callEndpoint(
            int of, PromotionAction.EndpointCall call, Function<FakeEndpoint, EndpointReport> effect) {
        FakeEndpoint endpoint = run.endpoint(call.endpoint());
        network.call(
                node,
                endpoint.node,
                () -> effect.apply(endpoint),
                report -> event(of, known -> known.onEndpointResponse(call, report, now())));
    }

    private void performOnPlatform(int of, PromotionAction.PlatformCall action) {
        FakePlatform platform = run.platform;
        long call = action.call();
        run.count(PromotionRun.Event.PLATFORM_CALL);
        if (action instanceof PromotionAction.ReadRecord) {
            network.call(
                    node,
                    PromotionRun.PLATFORM,
                    platform::read,
                    read -> event(
                            of, known -> known.onRecordRead(call, Optional.of(read.record()), read.revision(), now())));
        } else if (action instanceof PromotionAction.WriteRecord write) {
            network.call(
                    node,
                    PromotionRun.PLATFORM,
                    () -> platform.write(write.record(), write.expectedRevision()),
                    revision -> {
                        if (revision == 0) {
                            run.count(PromotionRun.Event.WRITE_CONFLICT);
                        }
                        event(
                                of,
                                known -> revision > 0
                                        ? known.onWriteAccepted(call, revision, now())
                                        : known.onWriteConflicted(call, now()));
                    });
        } else {
            network.call(
                    node,
                    PromotionRun.PLATFORM,
                    () -> changeLease(action),
                    token -> event(
                            of,
                            known -> token > 0
                                    ? known.onLeaseGranted(call, token, now())
                                    : known.onLeaseRefused(call, now())));
        }
    }

    private long changeLease(PromotionAction.PlatformCall action) {
        long ttl = run.guards.coordinator().leaseTtl().toNanos();
        if (action instanceof PromotionAction.AcquireLease acquire) {
            return run.platform.acquire(acquire.holder(), ttl, network.now());
        }
        return action instanceof PromotionAction.RenewLease renew
                ? run.platform.renew(renew.fencingToken(), ttl, network.now())
                : run.platform.release(((PromotionAction.ReleaseLease) action).fencingToken());
    }

    private static EndpointReport forgedAcceptance(EndpointName endpoint, Term term) {
        return new EndpointReport(endpoint, false, Term.NONE, term, LogPoint.START, Instant.EPOCH, 0);
    }
}
