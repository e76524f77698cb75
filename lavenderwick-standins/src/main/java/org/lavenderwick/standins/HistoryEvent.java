package org.lavenderwick.standins;

import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** What happened at one endpoint of a database group. */
public sealed interface HistoryEvent {

    /** Returns the time on the clock of the endpoint. */
    Instant time();

    /** Returns the database group. */
    GroupName group();

    /** Returns the endpoint. */
    EndpointName endpoint();

    /**
     * The endpoint applied one write, as primary or as replica.
     *
     * @param time time on the clock of the endpoint
     * @param group the database group
     * @param endpoint the endpoint
     * @param point point of the log entry that holds the write
     * @param key key that was written
     * @param value the new value
     * @param committed whether the endpoint committed it as primary; false if it took it from its primary
     */
    record WriteApplied(
            Instant time,
            GroupName group,
            EndpointName endpoint,
            LogPoint point,
            String key,
            JsonNode value,
            boolean committed)
            implements HistoryEvent {}

    /**
     * The endpoint became the primary of a term after the first one.
     *
     * @param time time on the clock of the endpoint
     * @param group the database group
     * @param endpoint the endpoint
     * @param term the term
     * @param startPosition position of the last entry that the term keeps
     */
    record TermBegan(Instant time, GroupName group, EndpointName endpoint, Term term, long startPosition)
            implements HistoryEvent {}

    /**
     * The primary committed a transaction. Its writes precede this event.
     *
     * @param time time on the clock of the endpoint
     * @param group the database group
     * @param endpoint the endpoint
     * @param point end of the log after the commit
     * @param requestId request that committed
     * @param idempotencyKey key recorded with the commit
     * @param results results of the committing request
     */
    record Committed(
            Instant time,
            GroupName group,
            EndpointName endpoint,
            LogPoint point,
            String requestId,
            Optional<String> idempotencyKey,
            JsonNode results)
            implements HistoryEvent {}

    /**
     * The endpoint rolled a transaction back.
     *
     * @param time time on the clock of the endpoint
     * @param group the database group
     * @param endpoint the endpoint
     * @param requestId request that began the transaction
     * @param reason plain sentence
     */
    record RolledBack(Instant time, GroupName group, EndpointName endpoint, String requestId, String reason)
            implements HistoryEvent {}

    /**
     * The endpoint serves or promises another term, or began or ceased to be primary.
     *
     * @param time time on the clock of the endpoint
     * @param group the database group
     * @param endpoint the endpoint
     * @param term term it serves
     * @param promisedTerm newest term it promised
     * @param primary whether it acts as primary
     */
    record TermChanged(
            Instant time, GroupName group, EndpointName endpoint, Term term, Term promisedTerm, boolean primary)
            implements HistoryEvent {}

    /**
     * The endpoint dropped the end of its log.
     *
     * @param time time on the clock of the endpoint
     * @param group the database group
     * @param endpoint the endpoint
     * @param from end of the log before
     * @param position position of the last entry that it kept
     */
    record Truncated(Instant time, GroupName group, EndpointName endpoint, LogPoint from, long position)
            implements HistoryEvent {}
}
