package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.jboss.logging.Logger;
import org.lavenderwick.core.time.MonotonicClock;

/** The traffic thread: waits for sockets and timers, and runs the handlers of whatever is ready. */
public final class EventLoop implements Runnable {

    /** Time between ticks; the resolution of all time limits of requests. */
    static final Duration TICK = Duration.ofMillis(20);

    /** Longest time between ticks while nothing waits. */
    private static final Duration IDLE_TICK = Duration.ofMillis(250);

    /** Bytes taken from a socket at once. */
    private static final int READ_BUFFER_BYTES = 64 << 10;

    private static final Logger LOG = Logger.getLogger(EventLoop.class);

    /** Reacts to a channel that is ready. */
    interface Handler {
        void onReady(SelectionKey key) throws IOException;

        void onFailure(String reason);
    }

    /** Work to be done between events. */
    interface Ticker {
        /** Runs what is due, and returns whether anything waits for a time limit. */
        boolean tick(Duration now);
    }

    private final Selector selector;
    private final MonotonicClock clock;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Set<LineConnection> unflushed = new LinkedHashSet<>();
    private Ticker ticker = now -> false;
    private Runnable afterWake = () -> {};
    private Duration now;
    private volatile boolean stopped;

    private EventLoop(Selector selector, MonotonicClock clock) {
        this.selector = selector;
        this.clock = clock;
        this.now = clock.now();
    }

    /** Returns a loop that is not running yet. */
    public static EventLoop open(MonotonicClock clock) throws IOException {
        return new EventLoop(Selector.open(), clock);
    }

    /** Sets what runs at each tick. */
    public void onTick(Ticker newTicker) {
        ticker = newTicker;
    }

    /** Sets what runs first whenever the thread wakes up, before any event is handled. */
    public void onWakeup(Runnable check) {
        afterWake = check;
    }

    /** Returns the time at which the current round of events began. */
    public Duration now() {
        return now;
    }

    /** Runs a task on the loop's thread. May be called from any thread. */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Ends the loop after the current round. May be called from any thread. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    SelectionKey register(SelectableChannel channel, int operations, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    ByteBuffer readBuffer() {
        readBuffer.clear();
        return readBuffer;
    }

    void scheduleFlush(LineConnection connection) {
        unflushed.add(connection);
    }

    @Override
    public void run() {
        boolean busy = true;
        Duration nextTick = clock.now();
        while (!stopped) {
            try {
                Duration wait = nextTick.minus(clock.now());
                if (wait.toMillis() > 0 && tasks.isEmpty()) {
                    selector.select(wait.toMillis());
                } else {
                    selector.selectNow();
                }
            } catch (IOException e) {
                LOG.errorf(e, "[session] The selector failed.");
                return;
            }
            now = clock.now();
            afterWake.run();
            runTasks();
            handleReady();
            if (now.compareTo(nextTick) >= 0 || !busy) {
                busy = ticker.tick(now);
                nextTick = now.plus(busy ? TICK : IDLE_TICK);
            }
            flush();
        }
        closeAll();
    }

    private void closeAll() {
        for (SelectionKey key : List.copyOf(selector.keys())) {
            try {
                key.channel().close();
            } catch (IOException e) {
                LOG.debugf("[session] Close failed: %s", e);
            }
        }
        try {
            selector.close();
        } catch (IOException e) {
            LOG.debugf("[session] Close failed: %s", e);
        }
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    private void handleReady() {
        Set<SelectionKey> selected = selector.selectedKeys();
        for (SelectionKey key : selected) {
            Handler handler = (Handler) key.attachment();
            try {
                if (key.isValid()) {
                    handler.onReady(key);
                }
            } catch (IOException e) {
                handler.onFailure(e.getMessage());
            }
        }
        selected.clear();
    }

    private void flush() {
        while (!unflushed.isEmpty()) {
            List<LineConnection> batch = new ArrayList<>(unflushed);
            unflushed.clear();
            batch.forEach(LineConnection::flush);
        }
    }
}
