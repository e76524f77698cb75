package org.lavenderwick.standins;

/**
 * Receives the events of the endpoints of a group. Events of one group arrive one at a time and in the order in which
 * they happened; the receiver must return quickly and must not call the stand-ins.
 */
@FunctionalInterface
public interface EndpointHistory {

    /** Drops all events. */
    EndpointHistory NONE = event -> {};

    /** Records one event. */
    void record(HistoryEvent event);
}
