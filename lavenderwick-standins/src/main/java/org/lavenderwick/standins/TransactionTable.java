package org.lavenderwick.standins;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/** Open transactions of one endpoint and their row locks. Confined to the lock of the group. */
final class TransactionTable {

    private final Map<EndpointSession, Transaction> open = new LinkedHashMap<>();
    private final Map<String, Transaction> locks = new HashMap<>();

    Optional<Transaction> of(EndpointSession session) {
        return Optional.ofNullable(open.get(session));
    }

    int openTransactions() {
        return open.size();
    }

    Transaction begin(EndpointSession session, String requestId) {
        Transaction transaction = new Transaction(requestId);
        open.put(session, transaction);
        return transaction;
    }

    /** Locks a key for the transaction, unless another one holds it. */
    boolean lock(Transaction transaction, String key) {
        Transaction holder = locks.putIfAbsent(key, transaction);
        return holder == null || holder == transaction;
    }

    boolean locked(String key) {
        return locks.containsKey(key);
    }

    /** Ends the transaction of a session, if it has one, and frees its locks. */
    Optional<Transaction> end(EndpointSession session) {
        Transaction ended = open.remove(session);
        if (ended != null) {
            locks.values().removeIf(holder -> holder == ended);
        }
        return Optional.ofNullable(ended);
    }

    List<EndpointSession> sessions() {
        return List.copyOf(open.keySet());
    }

    /** An open transaction. Its writes are kept aside until it commits. */
    static final class Transaction {

        private final String requestId;
        private final Map<String, JsonNode> writes = new LinkedHashMap<>();

        Transaction(String requestId) {
            this.requestId = requestId;
        }

        /** Returns the request that began it. */
        String requestId() {
            return requestId;
        }

        Map<String, JsonNode> writes() {
            return writes;
        }
    }
}
