package org.lavenderwick.standins;

import java.util.ArrayList;
import java.util.List;

/** Holds tasks back while it is closed and runs them in order when it opens, as a stopped process does. Thread-safe. */
final class PauseGate {

    private final StandinRuntime runtime;
    private final List<Runnable> held = new ArrayList<>();
    private boolean closed;

    PauseGate(StandinRuntime runtime) {
        this.runtime = runtime;
    }

    void run(Runnable task) {
        synchronized (this) {
            if (closed) {
                held.add(task);
                return;
            }
        }
        task.run();
    }

    synchronized void close() {
        closed = true;
    }

    synchronized void open() {
        closed = false;
        List<Runnable> due = List.copyOf(held);
        held.clear();
        runtime.execute(() -> due.forEach(this::run));
    }

    /** Drops the tasks that are held, as the death of the process does. */
    synchronized void drop() {
        held.clear();
    }
}
