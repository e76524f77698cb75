package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** A simulated process that runs promotion coordinators and performs their actions. It may pause and restart. */
final class SimulatedCoordinator {

    private final PromotionSimulation run;
    private final SimulatedNetwork network;
    private final int node;
    private final SimulatedNetwork.Clock clock;
    private PromotionCoordinator coordinator;
    private int instance;
    private long pausedUntil;
    private long wakeCount;

    SimulatedCoordinator(PromotionSimulation run, int node) {
        this.run = run;
        this.network = run.network;
        this.node = node;
        this.clock = SimulatedNetwork.Clock.drifting(
                network.random, run.safeguards.holder().clockDriftBound());
    }

    boolean isIdle() {
        return coordinator == null;
    }

    void start(PromotionRequest request) {
        instance++;
        coordinator = PromotionCoordinator.create(
                "node" + node + "-" + instance, run.endpointNames(), run.safeguards.coordinator(), network.random);
        deliver(instance, target -> target.start(request, now()));
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
        return Duration.ofNanos(clock.toLocal(network.now()));
    }

    private void deliver(int instanceNumber, Function<PromotionCoordinator, List<PromotionAction>> event) {
        if (instanceNumber != instance || coordinator == null) {
            return;
        }
        if (network.now() < pausedUntil) {
            network.at(pausedUntil, () -> deliver(instanceNumber, event));
            return;
        }
        List<PromotionAction> actions = event.apply(coordinator);
        if (!network.isHealed() && network.random.nextInt(150) == 0) {
            // Pauses between the decision and its effect.
            pause(run.randomPause());
            network.at(pausedUntil, () -> perform(instanceNumber, actions));
        } else {
            perform(instanceNumber, actions);
        }
    }

    private void perform(int instanceNumber, List<PromotionAction> actions) {
        if (instanceNumber == instance) {
            actions.forEach(action -> perform(instanceNumber, action));
        }
    }

    private void perform(int instanceNumber, PromotionAction action) {
        if (action instanceof PromotionAction.PlatformCall call) {
            performOnPlatform(instanceNumber, call);
        } else if (action instanceof PromotionAction.Seal seal) {
            if (run.safeguards.allowsForgedSeals() && network.random.nextBoolean()) {
                EndpointReport forged = forgedAcceptance(seal.endpoint(), seal.term());
                network.after(
                        SimulatedNetwork.MILLIS,
                        () -> deliver(instanceNumber, target -> target.onEndpointResponse(seal, forged, now())));
                return;
            }
            callEndpoint(
                    instanceNumber, seal, endpoint -> endpoint.seal(seal.term().number()));
        } else if (action instanceof PromotionAction.Promote promote) {
            callEndpoint(
                    instanceNumber,
                    promote,
                    endpoint -> run.promote(endpoint, promote.term().number(), promote.startPosition()));
        } else if (action instanceof PromotionAction.WakeAt wake) {
            long number = ++wakeCount;
            network.at(
                    clock.toSimulated(wake.at().toNanos()) + 2,
                    () -> deliver(instanceNumber, target -> number == wakeCount ? target.tick(now()) : List.of()));
        } else if (action instanceof PromotionAction.Finished finished) {
            coordinator = null;
            if (finished.outcome() == PromotionOutcome.REOPENED) {
                run.count(PromotionSimulation.Event.REOPENED);
            }
        }
    }

    private void callEndpoint(
            int instanceNumber, PromotionAction.EndpointCall call, Function<FakeEndpoint, EndpointReport> effect) {
        FakeEndpoint endpoint = run.endpoint(call.endpoint());
        network.call(
                node,
                endpoint.node,
                () -> effect.apply(endpoint),
                report -> deliver(instanceNumber, target -> target.onEndpointResponse(call, report, now())));
    }

    private void performOnPlatform(int instanceNumber, PromotionAction.PlatformCall action) {
        FakePlatform platform = run.platform;
        long call = action.call();
        run.count(PromotionSimulation.Event.PLATFORM_CALL);
        if (action instanceof PromotionAction.ReadRecord) {
            network.call(
                    node,
                    PromotionSimulation.PLATFORM,
                    platform::read,
                    read -> deliver(
                            instanceNumber,
                            target -> target.onRecordRead(call, Optional.of(read.record()), read.revision(), now())));
        } else if (action instanceof PromotionAction.WriteRecord write) {
            network.call(
                    node,
                    PromotionSimulation.PLATFORM,
                    () -> platform.write(write.record(), write.expectedRevision()),
                    revision -> {
                        if (revision == 0) {
                            run.count(PromotionSimulation.Event.WRITE_CONFLICT);
                        }
                        deliver(
                                instanceNumber,
                                target -> revision > 0
                                        ? target.onWriteAccepted(call, revision, now())
                                        : target.onWriteConflicted(call, now()));
                    });
        } else {
            network.call(
                    node,
                    PromotionSimulation.PLATFORM,
                    () -> changeLease(action),
                    token -> deliver(
                            instanceNumber,
                            target -> token > 0
                                    ? target.onLeaseGranted(call, token, now())
                                    : target.onLeaseRefused(call, now())));
        }
    }

    private long changeLease(PromotionAction.PlatformCall action) {
        long ttl = run.safeguards.coordinator().leaseTtl().toNanos();
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
