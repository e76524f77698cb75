package org.lavenderwick.benchmarks.slopes;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/** Takes the samples of a measurement. */
final class Sampler {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long WARM_UP_NANOS = 300_000_000;
    /** Processor time of one run; the clock of threads has a resolution of some microseconds. */
    private static final long RUN_NANOS = 40_000_000;

    private static final int COLLECTIONS = 3;
    private static final long COLLECTION_PAUSE_NANOS = 40_000_000;
    private static volatile Object sink;

    private final int runs;

    Sampler(int runs) {
        this.runs = runs;
    }

    int runs() {
        return runs;
    }

    /** Returns the values of all runs; the argument of the function is the number of the run, which seeds it. */
    Point point(double size, IntFunction<Double> run) {
        List<Double> values = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            values.add(run.apply(i));
        }
        return new Point(size, values);
    }

    /** Returns the processor time of one operation in microseconds, measured on the calling thread. */
    Point cpuMicros(double size, Supplier<?> operation) {
        spend(operation, WARM_UP_NANOS);
        return point(size, run -> spend(operation, RUN_NANOS));
    }

    private static double spend(Supplier<?> operation, long nanos) {
        long start = THREADS.getCurrentThreadCpuTime();
        long used;
        long count = 0;
        do {
            sink = operation.get();
            count++;
            used = THREADS.getCurrentThreadCpuTime() - start;
        } while (used < nanos);
        return used / 1e3 / count;
    }

    /** Returns the bytes in use on the heap after collections, and in direct buffers. */
    static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            // Closed channels become free only after their cleaners have run between two collections.
            LockSupport.parkNanos(COLLECTION_PAUSE_NANOS);
        }
        long direct = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() + direct;
    }

    /** Returns the bytes that become free when the object made by the supplier is dropped. */
    static double retainedBytes(Supplier<?> supplier) {
        sink = supplier.get();
        long with = usedBytes();
        sink = null;
        return with - usedBytes();
    }
}
