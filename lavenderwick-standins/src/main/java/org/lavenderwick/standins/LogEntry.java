package org.lavenderwick.standins;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One committed transaction in the log of a group. Replicas share the objects: the same position holds the same object
 * on two endpoints exactly if their logs agree up to it.
 *
 * @param term term in which it was written
 * @param position position in the log
 * @param time time at which the primary committed it
 * @param changes the changed keys
 * @param idempotencyKey key recorded with the effect
 * @param results results recorded under the key
 */
record LogEntry(
        long term,
        long position,
        Instant time,
        List<Change> changes,
        Optional<String> idempotencyKey,
        JsonNode results) {

    /**
     * Change of one key.
     *
     * @param key the key
     * @param before value before, or null if the key was absent
     * @param after value after
     */
    record Change(String key, JsonNode before, JsonNode after) {}
}
