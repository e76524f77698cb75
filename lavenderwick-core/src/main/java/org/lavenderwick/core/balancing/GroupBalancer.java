package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import com.google.common.collect.Maps;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.model.EndpointName;

/**
 * The balancing of the statements of one group over its endpoints, as one daemon decides it. Without load, failures
 * and distance the choice is that of the statement's {@link LoadSelector}. Statements that need the primary always go
 * to it, subject to the concurrency limit. Not thread-safe.
 */
public final class GroupBalancer {

    /** Window of the mean number of primary-only statements in flight. */
    private static final Duration DEMAND_WINDOW = Duration.ofSeconds(2);

    private static final double MIN_DELAY_SAMPLES = 3;

    /** Part of its latency target after which a read uses an ejected endpoint if all others are at their limits. */
    private static final double USE_EJECTED_AFTER = 0.25;

    /** How long after its ejection an endpoint without any response is probed with a statement all the same. */
    private static final Duration PROBE_WITHOUT_RESPONSE = Duration.ofSeconds(6);

    private static final class EndpointState {
        private final EndpointQuality quality = new EndpointQuality();
        private final Ejection ejection = new Ejection();
        private final ConcurrencyLimit limit;
        private int ceiling = Integer.MAX_VALUE;
        private Duration lastResponseAt = Duration.ZERO;
        private boolean suspicious;
        private long statements;
        private long rejections;
        private long ejections;

        EndpointState(RandomGenerator random) {
            limit = ConcurrencyLimit.create(random);
        }
    }

    private final RandomGenerator random;
    private final BalancingListener listener;
    private final DomainPlacement placement;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final DecayingSum primaryOnlyNanos = DecayingSum.create(DEMAND_WINDOW);
    private final Map<EndpointName, EndpointState> endpoints = new HashMap<>();
    private final DomainPlacement.Measurements measurements = new DomainPlacement.Measurements() {
        @Override
        public EndpointQuality quality(EndpointName endpoint) {
            return state(endpoint).quality;
        }

        @Override
        public double meanWorkNanos() {
            return serviceTimes.meanWorkNanos();
        }

        @Override
        public double primaryOnlyConcurrency(Duration now) {
            return primaryOnlyNanos.value(now) / DEMAND_WINDOW.toNanos();
        }
    };

    private GroupBalancer(RandomGenerator random, BalancingListener listener, OptionalDouble pricePerMegabyte) {
        this.random = random;
        this.listener = listener;
        this.placement = new DomainPlacement(pricePerMegabyte);
    }

    /**
     * Creates the balancing of a group without measurements.
     *
     * @param pricePerMegabyte price of a megabyte between failure domains, in units of the value of one timely
     *     operation of the most urgent rank; empty if only latency decides
     */
    public static GroupBalancer create(
            RandomGenerator random, BalancingListener listener, OptionalDouble pricePerMegabyte) {
        return new GroupBalancer(random, listener, pricePerMegabyte);
    }

    private EndpointState state(EndpointName endpoint) {
        return endpoints.computeIfAbsent(endpoint, name -> new EndpointState(random));
    }

    /** Forgets all endpoints that are not in the given set. */
    public void retain(Set<EndpointName> members) {
        endpoints.keySet().retainAll(members);
        serviceTimes.retain(members);
    }

    /** Returns the number of statements that this daemon may run on an endpoint, which is at most the ceiling. */
    public int limit(EndpointName endpoint, int ceiling) {
        EndpointState state = state(endpoint);
        state.ceiling = ceiling;
        return state.limit.value(ceiling);
    }

    /**
     * Returns the endpoint that a statement is sent to now; empty if it should wait.
     *
     * @param eligible the endpoints that may serve the statement
     * @param passedOver the eligible endpoints that have no idle connection
     */
    public Optional<EndpointLoad> select(
            BalancedStatement statement,
            Collection<EndpointLoad> eligible,
            Set<EndpointName> passedOver,
            Duration now) {
        List<EndpointLoad> selectable = new ArrayList<>(eligible);
        selectable.removeIf(load ->
                passedOver.contains(load.name()) || state(load.name()).limit.isHeld(now));
        if (statement.needsPrimary()) {
            return statement.select(selectable);
        }
        Optional<EndpointLoad> probe = selectable.stream()
                .filter(load -> isProbeDue(statement, load, now))
                .findFirst();
        if (probe.isPresent()) {
            state(probe.get().name()).ejection.onProbeSent(now);
            return probe;
        }
        List<EndpointLoad> inUse = new ArrayList<>(eligible);
        inUse.removeIf(load -> state(load.name()).ejection.state() != Ejection.State.IN_USE);
        boolean allUnhealthy = inUse.stream().allMatch(load -> state(load.name()).suspicious);
        if (allUnhealthy) {
            // The fault is this host's own, or there is no better endpoint for this statement.
            return placement.select(statement, List.copyOf(eligible), selectable, measurements, now);
        }
        List<EndpointLoad> selectableInUse = new ArrayList<>(selectable);
        selectableInUse.retainAll(inUse);
        return placement
                .select(statement, inUse, selectableInUse, measurements, now)
                .or(() -> selectEjected(statement, selectable, inUse));
    }

    private boolean isProbeDue(BalancedStatement statement, EndpointLoad load, Duration now) {
        return statement.mayRepeat()
                && !load.unresponsive()
                && load.inFlight() == 0
                && state(load.name()).ejection.isProbeDue(now);
    }

    /** Selects an ejected endpoint that responds, for a read that would otherwise be late. */
    private Optional<EndpointLoad> selectEjected(
            BalancedStatement statement, List<EndpointLoad> selectable, List<EndpointLoad> inUse) {
        if (!statement.mayRepeat() || !statement.hasWaited(USE_EJECTED_AFTER)) {
            return Optional.empty();
        }
        List<EndpointLoad> ejected = new ArrayList<>(selectable);
        ejected.removeAll(inUse);
        ejected.removeIf(
                load -> load.inFlight() > 0 || state(load.name()).ejection.cause() == EjectionCause.HANGING);
        return statement.select(ejected);
    }

    /** Records that a statement was sent to an endpoint. */
    public void onSent(EndpointName endpoint, Duration now) {
        EndpointState state = state(endpoint);
        state.statements++;
        state.quality.onSent(now);
    }

    /** Records that an endpoint responded to any request. */
    public void onResponse(EndpointName endpoint, Duration sentAt, Duration now) {
        EndpointState state = state(endpoint);
        state.lastResponseAt = now;
        state.quality.onResponse(now);
        state.quality.recordRoundTrip(now.minus(sentAt), now);
    }

    /**
     * Records the outcome of a statement.
     *
     * @param kind kind of the statement; statements of one kind take about the same time on all endpoints
     * @param needsPrimary whether only the primary could run it
     * @param assignedAt time of the call of {@link #onSent} for it
     * @param sentAt when the statement itself was sent, which may be after setup steps
     */
    public void onFinished(
            EndpointName endpoint,
            String kind,
            boolean needsPrimary,
            Duration assignedAt,
            Duration sentAt,
            StatementOutcome outcome,
            Duration now) {
        EndpointState state = state(endpoint);
        state.quality.onFinished(assignedAt, outcome, now);
        if (outcome == StatementOutcome.REJECTED) {
            state.rejections++;
            state.limit.onRejected(state.ceiling, serviceTimes.meanWorkNanos(), now);
        } else if (outcome == StatementOutcome.SUCCEEDED) {
            onSucceeded(endpoint, state, kind, needsPrimary, sentAt, now);
        } else if (state.ejection.state() == Ejection.State.PROBING && outcome != StatementOutcome.NOT_RUN) {
            eject(endpoint, state, state.ejection.cause(), now);
        }
        refresh(now);
    }

    private void onSucceeded(
            EndpointName endpoint,
            EndpointState state,
            String kind,
            boolean needsPrimary,
            Duration sentAt,
            Duration now) {
        long latency = now.minus(sentAt).toNanos();
        long service = Math.max(1, latency - Math.max(0, state.quality.roundTripNanos()));
        serviceTimes.record(endpoint, kind, service, now);
        state.quality.recordDelay(service / serviceTimes.expectedNanos(kind), now);
        state.limit.onSucceeded(state.ceiling, state.quality.delay(MIN_DELAY_SAMPLES, now), now);
        if (needsPrimary) {
            primaryOnlyNanos.add(service, now);
        }
        if (state.ejection.onProbePassed(now)) {
            if (state.quality.delay(1, now) > OutlierDetector.SLOW_DELAY) {
                eject(endpoint, state, EjectionCause.SLOW, now);
            } else {
                listener.onReadmitted(endpoint);
            }
        }
    }

    /** Records the time that the TCP handshake of a new connection took. */
    public void onConnected(EndpointName endpoint, Duration handshake, Duration now) {
        state(endpoint).quality.recordRoundTrip(handshake, now);
    }

    /** Records that no connection to an endpoint could be opened. */
    public void onConnectFailed(EndpointName endpoint, Duration now) {
        EndpointState state = state(endpoint);
        if (state.ejection.state() == Ejection.State.PROBING || (isInUse(state) && hasHealthyOther(state))) {
            eject(endpoint, state, EjectionCause.DISCONNECTED, now);
        }
    }

    private static boolean isInUse(EndpointState state) {
        return state.ejection.state() == Ejection.State.IN_USE;
    }

    private boolean hasHealthyOther(EndpointState state) {
        return endpoints.values().stream().anyMatch(other -> other != state && isInUse(other) && !other.suspicious);
    }

    private void eject(EndpointName endpoint, EndpointState state, EjectionCause cause, Duration now) {
        state.ejections++;
        listener.onEjected(endpoint, cause, state.ejection.eject(cause, now));
    }

    /** Compares the endpoints, ejects outliers and starts probes. Must also be called regularly. */
    public void refresh(Duration now) {
        double work = serviceTimes.meanWorkNanos();
        Map<EndpointName, EjectionCause> outliers = new HashMap<>();
        endpoints.forEach((name, state) -> {
            List<EndpointQuality> others = endpoints.values().stream()
                    .filter(other -> other != state)
                    .map(other -> other.quality)
                    .toList();
            Optional<EjectionCause> cause = OutlierDetector.check(state.quality, others, work, now);
            state.suspicious = cause.isPresent();
            cause.ifPresent(found -> outliers.put(name, found));
        });
        endpoints.forEach((name, state) -> {
            boolean outlier = outliers.containsKey(name);
            if (outlier && isInUse(state) && hasHealthyOther(state)) {
                eject(name, state, outliers.get(name), now);
            } else if (outliers.get(name) == EjectionCause.HANGING
                    && state.ejection.state() == Ejection.State.PROBING) {
                eject(name, state, EjectionCause.HANGING, now);
            } else if (mayBeProbed(state, now) && state.ejection.startProbing(now)) {
                state.quality.reset();
                state.suspicious = false;
                state.limit.restart(now);
            }
        });
    }

    private static boolean mayBeProbed(EndpointState state, Duration now) {
        return !needsResponse(state) || now.minus(state.ejection.ejectedAt()).compareTo(PROBE_WITHOUT_RESPONSE) > 0;
    }

    private static boolean needsResponse(EndpointState state) {
        return state.ejection.state() == Ejection.State.EJECTED
                && state.ejection.cause() == EjectionCause.HANGING
                && state.lastResponseAt.compareTo(state.ejection.ejectedAt()) <= 0;
    }

    /**
     * Returns whether an endpoint was ejected because it left statements without a response, and has not responded
     * since. Any response makes statements probe it.
     */
    public boolean needsResponse(EndpointName endpoint) {
        return needsResponse(state(endpoint));
    }

    /** Returns whether an endpoint is ejected and not yet being probed. */
    public boolean isEjected(EndpointName endpoint) {
        return state(endpoint).ejection.state() == Ejection.State.EJECTED;
    }

    /** Returns the counters. */
    public BalancingCounters counters() {
        return new BalancingCounters(
                count(state -> state.statements),
                count(state -> state.rejections),
                count(state -> state.ejections),
                Maps.transformValues(endpoints, state -> state.limit.value(state.ceiling)),
                placement.departures());
    }

    private Map<EndpointName, Long> count(ToLongFunction<EndpointState> counter) {
        return Maps.transformValues(endpoints, counter::applyAsLong);
    }
}
