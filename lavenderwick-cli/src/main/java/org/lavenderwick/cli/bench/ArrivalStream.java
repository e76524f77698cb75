package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.Random;

/** Arrival times of one workload: exponential gaps from a seed, or equal gaps. Confined to one thread. */
final class ArrivalStream {
    private final Workload workload;
    private final Duration until;
    private final double perSecond;
    private final boolean regular;
    private final String writer;
    /** Separate from the choices, which depend on answers, so that a seed always gives the same arrivals. */
    private final Random gaps;

    private final Random choices;
    private Duration next;

    private ArrivalStream(
            Workload workload,
            double perSecond,
            Duration from,
            Duration until,
            boolean regular,
            String writer,
            long seed) {
        this.workload = workload;
        this.perSecond = perSecond;
        this.until = until;
        this.regular = regular;
        this.writer = writer;
        this.gaps = new Random(seed);
        this.choices = new Random(~seed);
        this.next = from.plus(gap());
    }

    /** Returns arrivals with exponential gaps. */
    static ArrivalStream poisson(Workload workload, double perSecond, Duration from, Duration until, long seed) {
        return new ArrivalStream(workload, perSecond, from, until, false, "", seed);
    }

    /** Returns the writes of one writer that sends at equal gaps. */
    static ArrivalStream writer(Workload workload, String writer, double perSecond, Duration until, long seed) {
        return new ArrivalStream(workload, perSecond, Duration.ZERO, until, true, writer, seed);
    }

    /** Returns the workload. */
    Workload workload() {
        return workload;
    }

    /** Returns the name of the writer, empty for other streams. */
    String writer() {
        return writer;
    }

    /** Returns the source of choices such as keys and daemons. */
    Random choices() {
        return choices;
    }

    /** Returns whether another arrival comes. */
    boolean open() {
        return next.compareTo(until) < 0;
    }

    /** Returns the time of the next arrival. */
    Duration next() {
        return next;
    }

    /** Goes on to the arrival after the next one. */
    void advance() {
        next = next.plus(gap());
    }

    private Duration gap() {
        double seconds = regular ? 1 / perSecond : -Math.log(1 - gaps.nextDouble()) / perSecond;
        return Duration.ofNanos(Math.max(1, (long) (seconds * 1e9)));
    }
}
