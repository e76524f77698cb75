package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.model.EndpointName;

/**
 * The placement of the reads of one group in the own or another failure domain. Where distance matters, a read stays in
 * the own failure domain while it can meet its latency target there. It leaves only for an endpoint that shows spare
 * capacity, at a rate that grows gradually.
 *
 * <p>An endpoint counts as congested above a higher delay than that up to which another one has spare capacity. All
 * owners measure the same endpoints, so two failure domains cannot both be congested for their own owners and have
 * spare capacity for the other's. What is not known counts as no spare capacity, except
 * for single reads that find out ({@link Exploration}). Not thread-safe.
 */
final class DomainPlacement {

    /** Round trip, as a part of the mean work, from which on distance matters; and up to which it then still does. */
    private static final double DISTANCE_MATTERS = 1.0 / 20;

    private static final double DISTANCE_STILL_MATTERS = 1.0 / 25;

    /** Delay over service time up to which an endpoint has spare slots; a lower bound is within the noise. */
    private static final double SPARE_DELAY = 1.35;

    /** Delay over service time from which on an endpoint is congested; twice the slots in flight give 2. */
    private static final double CONGESTED_DELAY = 1.8;

    private static final double MIN_DELAY_SAMPLES = 6;
    private static final double MAX_REJECTED_SHARE = 0.02;

    /** Part of its latency target after which a read leaves endpoints that are congested. */
    private static final double LEAVE_AFTER = 0.25;

    /** The same while other reads leave; the difference keeps reads from leaving by turns. */
    private static final double KEEP_LEAVING_AFTER = 0.125;

    /** The same if only this daemon's limits are reached, so that the wait is likely to end soon. */
    private static final double LEAVE_UNCONGESTED_AFTER = 0.35;

    /** The same for a read that has no place at home, and then also goes where there is no spare capacity. */
    private static final double NEEDS_NO_SPARE_AFTER = 0.35;

    /** Bytes of a statement and its response between failure domains, measured over 61,105 statements. */
    private static final double BYTES_PER_STATEMENT = 530;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    /** Part of its value that an operation loses if it is late. */
    private static final double LOSS_IF_LATE = 0.75;

    private final OptionalDouble pricePerMegabyte;
    private final CrossDomainRamp ramp = new CrossDomainRamp();
    private final Map<DepartureReason, Long> departures = new EnumMap<>(DepartureReason.class);
    private final Map<EndpointName, Exploration> explorations = new HashMap<>();
    private boolean distanceMatters;

    /**
     * Creates the placement of one group.
     *
     * @param pricePerMegabyte price of a megabyte between failure domains, in units of the value of one timely
     *     operation of the most urgent rank; empty if only latency decides
     */
    DomainPlacement(OptionalDouble pricePerMegabyte) {
        this.pricePerMegabyte = pricePerMegabyte;
    }

    /** What the placement needs to know about the group. */
    interface Measurements {
        /** Returns the quality of an endpoint. */
        EndpointQuality quality(EndpointName endpoint);

        /** Returns the mean service time of the statements of the group; 0 if it is not known. */
        double meanWorkNanos();

        /** Returns how many statements that need the primary this daemon runs at the same time, on average. */
        double primaryOnlyConcurrency(Duration now);
    }

    /**
     * Returns the endpoint for a read; empty if it should wait.
     *
     * @param eligible the endpoints that may serve the read, including those at their limit
     * @param selectable the eligible endpoints that can be sent a statement now
     */
    Optional<EndpointLoad> select(
            BalancedStatement statement,
            List<EndpointLoad> eligible,
            List<EndpointLoad> selectable,
            Measurements measurements,
            Duration now) {
        if (!updateDistance(eligible, measurements)) {
            return statement.select(selectable);
        }
        Optional<EndpointLoad> home = statement.select(selectable.stream()
                .filter(EndpointLoad::sameDomain)
                .filter(load -> !load.primary() || hasSpareForReads(load, measurements, now))
                .toList());
        if (home.isPresent()) {
            return home;
        }
        Optional<DepartureReason> reason = departureReason(statement, eligible, measurements, now);
        if (reason.isEmpty() || !isWorthItsPrice(statement, reason.get()) || !ramp.mayDepart(now)) {
            return Optional.empty();
        }
        Optional<EndpointLoad> remote = selectAway(statement, reason.get(), selectable, measurements, now);
        if (remote.isPresent()) {
            onDeparted(reason.get(), now);
            return remote;
        }
        return reason.get() == DepartureReason.OVERLOADED
                ? explore(statement, selectable, measurements, now)
                : Optional.empty();
    }

    private void onDeparted(DepartureReason reason, Duration now) {
        ramp.onDeparted(now);
        departures.merge(reason, 1L, Long::sum);
    }

    private static Optional<EndpointLoad> selectAway(
            BalancedStatement statement,
            DepartureReason reason,
            List<EndpointLoad> selectable,
            Measurements measurements,
            Duration now) {
        boolean homeless = reason != DepartureReason.OVERLOADED;
        boolean needsNoSpare = homeless && statement.hasWaited(NEEDS_NO_SPARE_AFTER);
        return statement.select(selectable.stream()
                .filter(load -> {
                    EndpointQuality quality = measurements.quality(load.name());
                    boolean known = homeless || quality.isDelayKnown(MIN_DELAY_SAMPLES, now);
                    return needsNoSpare || (!load.sameDomain() && known && hasSpare(quality, now));
                })
                .toList());
    }

    /** Selects an endpoint about which nothing is known, for a single read. */
    private Optional<EndpointLoad> explore(
            BalancedStatement statement, List<EndpointLoad> selectable, Measurements measurements, Duration now) {
        Optional<EndpointLoad> found = statement.select(selectable.stream()
                .filter(load -> !load.sameDomain() && load.inFlight() == 0)
                .filter(load -> !measurements.quality(load.name()).isDelayKnown(MIN_DELAY_SAMPLES, now))
                .filter(load -> exploration(load).isDue(measurements.quality(load.name()), SPARE_DELAY, now))
                .toList());
        found.ifPresent(load -> {
            exploration(load).onSent(now);
            onDeparted(DepartureReason.EXPLORATION, now);
        });
        return found;
    }

    private Exploration exploration(EndpointLoad load) {
        return explorations.computeIfAbsent(load.name(), name -> new Exploration());
    }

    /** Returns whether an endpoint is in another failure domain, and distance mattered at the last placement. */
    boolean isDistant(EndpointLoad load) {
        return distanceMatters && !load.sameDomain();
    }

    /** Returns whether the additional round trip of remote endpoints is relevant compared with the mean work. */
    private boolean updateDistance(List<EndpointLoad> eligible, Measurements measurements) {
        Function<EndpointLoad, Long> roundTrip =
                load -> measurements.quality(load.name()).roundTripNanos();
        List<EndpointLoad> measured =
                eligible.stream().filter(load -> roundTrip.apply(load) >= 0).toList();
        long local = measured.stream()
                .filter(EndpointLoad::sameDomain)
                .mapToLong(roundTrip::apply)
                .min()
                .orElse(0);
        Optional<Long> remote = measured.stream()
                .filter(load -> !load.sameDomain())
                .map(roundTrip)
                .max(Long::compare);
        double work = measurements.meanWorkNanos();
        if (remote.isPresent() && work > 0) {
            double threshold = distanceMatters ? DISTANCE_STILL_MATTERS : DISTANCE_MATTERS;
            distanceMatters = remote.get() - local >= threshold * work;
        }
        return distanceMatters;
    }

    private boolean hasSpareForReads(EndpointLoad primary, Measurements measurements, Duration now) {
        int reserved = (int) Math.max(1, Math.ceil(measurements.primaryOnlyConcurrency(now)));
        return primary.inFlight() < Math.max(1, primary.limit() - reserved)
                && hasSpare(measurements.quality(primary.name()), now);
    }

    private static boolean hasSpare(EndpointQuality quality, Duration now) {
        return quality.delay(MIN_DELAY_SAMPLES, now) <= SPARE_DELAY && quality.rejectedShare(now) <= MAX_REJECTED_SHARE;
    }

    private Optional<DepartureReason> departureReason(
            BalancedStatement statement, List<EndpointLoad> eligible, Measurements measurements, Duration now) {
        List<EndpointLoad> home = new ArrayList<>(eligible);
        home.removeIf(load -> !load.sameDomain() || load.unresponsive());
        if (home.isEmpty()) {
            return Optional.of(DepartureReason.UNAVAILABLE);
        }
        boolean primaryOnly = home.stream().allMatch(EndpointLoad::primary);
        if (primaryOnly && !hasSpare(measurements.quality(home.get(0).name()), now)) {
            return Optional.of(DepartureReason.PRIMARY_RESERVED);
        }
        boolean congested = home.stream()
                .map(load -> measurements.quality(load.name()))
                .allMatch(quality -> quality.delay(MIN_DELAY_SAMPLES, now) >= CONGESTED_DELAY
                        || quality.rejectedShare(now) > MAX_REJECTED_SHARE);
        double leaveAfter = ramp.isActive(now) ? KEEP_LEAVING_AFTER : LEAVE_AFTER;
        return statement.hasWaited(congested ? leaveAfter : LEAVE_UNCONGESTED_AFTER)
                ? Optional.of(DepartureReason.OVERLOADED)
                : Optional.empty();
    }

    private boolean isWorthItsPrice(BalancedStatement statement, DepartureReason reason) {
        double value = Math.pow(2, -statement.rank()) * (reason == DepartureReason.OVERLOADED ? LOSS_IF_LATE : 1);
        return pricePerMegabyte.isEmpty()
                || pricePerMegabyte.getAsDouble() * BYTES_PER_STATEMENT / BYTES_PER_MEGABYTE < value;
    }

    /** Returns how many reads have left, by reason. */
    Map<DepartureReason, Long> departures() {
        return ImmutableMap.copyOf(departures);
    }
}
