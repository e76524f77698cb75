package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.concurrent.Future;

import org.lavenderwick.core.model.Term;

/** A transaction and the connection that it owns. Confined to the event loop of the group. */
final class OpenTransaction {
    private final String id;
    private final EndpointTarget target;
    private final long connection;
    private final Term term;
    private Future<?> idleCheck;
    private boolean busy;

    OpenTransaction(String id, EndpointTarget target, long connection, Term term) {
        this.id = id;
        this.target = target;
        this.connection = connection;
        this.term = term;
    }

    String id() {
        return id;
    }

    EndpointTarget target() {
        return target;
    }

    long connection() {
        return connection;
    }

    Term term() {
        return term;
    }

    boolean isStepRunning() {
        return busy;
    }

    /** Notes that a step runs; the idle time does not count meanwhile. */
    void onStepStarted() {
        busy = true;
        cancelIdleTimeout();
    }

    /** Notes that no step runs any more. */
    void onStepEnded(EventLoop loop, Duration idleBound, Runnable onIdle) {
        busy = false;
        idleCheck = loop.scheduleAt(loop.now().plus(idleBound), onIdle);
    }

    void cancelIdleTimeout() {
        if (idleCheck != null) {
            idleCheck.cancel(false);
        }
    }
}
