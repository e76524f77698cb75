package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.group.EventLoop;

/** The threads of a daemon: one for control, some event loops for groups, some for answers, one for timeouts. */
final class DaemonThreads implements AutoCloseable {
    private final MonotonicClock clock;
    private final EventLoop control;
    private final List<EventLoop> traffic = new ArrayList<>();
    private final ExecutorService answers;
    private final ScheduledExecutorService timer;
    private final AtomicInteger next = new AtomicInteger();

    private DaemonThreads(int trafficThreads) {
        long origin = System.nanoTime();
        clock = () -> Duration.ofNanos(System.nanoTime() - origin);
        control = EventLoop.start("control", clock);
        // Half of the threads own groups, the other half open and seal tokens and build answers.
        int loops = Math.max(1, trafficThreads / 2);
        for (int i = 0; i < loops; i++) {
            traffic.add(EventLoop.start("group-" + i, clock));
        }
        answers = Executors.newFixedThreadPool(
                Math.max(1, trafficThreads - loops),
                new ThreadFactoryBuilder()
                        .setNameFormat("answer-%d")
                        .setDaemon(true)
                        .build());
        ScheduledThreadPoolExecutor timeouts = new ScheduledThreadPoolExecutor(
                1,
                new ThreadFactoryBuilder()
                        .setNameFormat("timer")
                        .setDaemon(true)
                        .build());
        // Most timeouts are cancelled when an answer comes and must not pile up until they are due.
        timeouts.setRemoveOnCancelPolicy(true);
        timer = timeouts;
    }

    static DaemonThreads start(int trafficThreads) {
        return new DaemonThreads(trafficThreads);
    }

    MonotonicClock clock() {
        return clock;
    }

    EventLoop control() {
        return control;
    }

    /** Returns the event loops in turn. */
    EventLoop nextLoop() {
        return traffic.get(Math.floorMod(next.getAndIncrement(), traffic.size()));
    }

    ExecutorService answers() {
        return answers;
    }

    ScheduledExecutorService timer() {
        return timer;
    }

    @Override
    public void close() {
        control.close();
        traffic.forEach(EventLoop::close);
        answers.shutdown();
        timer.shutdownNow();
    }
}
