package org.lavenderwick.core.balancing;

import java.time.Duration;

import org.lavenderwick.core.model.EndpointName;

/** A listener for ejections and readmissions. */
public interface BalancingListener {

    /** A listener that ignores all events. */
    BalancingListener NONE = new BalancingListener() {
        @Override
        public void onEjected(EndpointName endpoint, EjectionCause cause, Duration duration) {}

        @Override
        public void onReadmitted(EndpointName endpoint) {}
    };

    /** An endpoint receives no more reads except probes, which begin after the given time. */
    void onEjected(EndpointName endpoint, EjectionCause cause, Duration duration);

    /** An endpoint has passed its probes and receives reads again. */
    void onReadmitted(EndpointName endpoint);
}
