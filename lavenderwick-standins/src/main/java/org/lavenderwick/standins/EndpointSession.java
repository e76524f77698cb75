package org.lavenderwick.standins;

import java.util.concurrent.atomic.AtomicBoolean;

/** One database connection at an endpoint: a TCP connection that {@code /connect} has registered. Thread-safe. */
final class EndpointSession {

    private final String id;
    private final int sourceBlock;
    private final AtomicBoolean closed = new AtomicBoolean();

    EndpointSession(String id, int sourceBlock) {
        this.id = id;
        this.sourceBlock = sourceBlock;
    }

    String id() {
        return id;
    }

    int sourceBlock() {
        return sourceBlock;
    }

    boolean closed() {
        return closed.get();
    }

    /** Returns whether this call closed the session. */
    boolean markClosed() {
        return closed.compareAndSet(false, true);
    }
}
