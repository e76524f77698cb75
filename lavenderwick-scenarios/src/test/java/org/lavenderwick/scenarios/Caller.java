package org.lavenderwick.scenarios;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.scenarios.CallerClient.Answer;
import org.lavenderwick.standins.history.CallerOperation;
import org.lavenderwick.standins.history.OperationResult;

/** One session: sends one request after another, each to another daemon than the last, and records the answers. */
final class Caller {
    static final GroupName GROUP = GroupName.of("ledger");

    private static final int KEYS = 5;
    private static final int REPEATS = 4;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String name;
    private final String rank;
    private final int deadlineMillis;
    private final CallerClient client;
    private final Supplier<List<String>> daemons;
    private final Records records;
    private final Random random;
    private Optional<String> session = Optional.empty();
    private int turn;
    private int request;

    /** The addresses of the daemons are asked for before each request. */
    Caller(
            String name,
            String rank,
            int deadlineMillis,
            CallerClient client,
            Supplier<List<String>> daemons,
            Records records) {
        this.name = name;
        this.rank = rank;
        this.deadlineMillis = deadlineMillis;
        this.client = client;
        this.daemons = daemons;
        this.records = records;
        this.random = new Random(name.hashCode());
        this.turn = random.nextInt(100);
    }

    /** Sends one write, read or transaction. */
    void next() {
        int draw = random.nextInt(10);
        if (draw < 3) {
            write(true);
        } else if (draw < 5) {
            write(false);
        } else if (draw < 9) {
            read();
        } else {
            transaction();
        }
    }

    /** Writes; with an idempotency key, repeats at other daemons until the outcome is known or the tries run out. */
    void write(boolean keyed) {
        String key = key();
        String value = value();
        for (int i = 0; i < (keyed ? REPEATS : 1); i++) {
            ObjectNode body = body("write");
            statement(body, "put", key).put("value", value);
            if (keyed) {
                body.put("idempotencyKey", value);
            }
            Duration invoked = records.now();
            Answer answer = send(CallerClient.STATEMENTS, body);
            if (answer.done()) {
                expectValues(answer, List.of(value));
            }
            add(true, key, Optional.of(value), answer, invoked, keyed, false);
            if (answer.result() != OperationResult.UNKNOWN) {
                return;
            }
        }
    }

    /** Reads one key. */
    void read() {
        String key = key();
        ObjectNode body = body("read");
        statement(body, "get", key);
        Duration invoked = records.now();
        Answer answer = send(CallerClient.STATEMENTS, body);
        if (answer.done() && answer.body().path("results").size() != 1) {
            records.wrongAnswer("read of " + key + ": " + answer);
        }
        Optional<String> value = Optional.of(
                        answer.body().path("results").path(0).path("value"))
                .filter(JsonNode::isTextual)
                .map(JsonNode::textValue);
        add(false, key, value, answer, invoked, false, false);
    }

    /** Writes two keys in one transaction, each step at another daemon. */
    void transaction() {
        String value = value();
        List<String> keys = List.of(key(), name + "-pair-" + random.nextInt(KEYS));
        Duration invoked = records.now();
        Answer answer = runTransaction(keys, value);
        for (int i = 0; i < keys.size(); i++) {
            add(true, keys.get(i), Optional.of(value + "/" + i), answer, invoked, false, true);
        }
    }

    private Answer runTransaction(List<String> keys, String value) {
        ObjectNode begin = MAPPER.createObjectNode().put("rank", rank).put("deadlineMs", deadlineMillis);
        Answer begun = send(CallerClient.TRANSACTIONS, begin);
        if (!begun.done()) {
            return withoutCommit(begun);
        }
        String path = "/v1/transactions/" + begun.body().path("transaction").asText();
        for (int i = 0; i < keys.size(); i++) {
            ObjectNode step = MAPPER.createObjectNode().put("deadlineMs", deadlineMillis);
            statement(step, "put", keys.get(i)).put("value", value + "/" + i);
            Answer answer = send(path + "/statements", step);
            if (!answer.done()) {
                send(path + "/rollback", MAPPER.createObjectNode());
                return withoutCommit(answer);
            }
            expectValues(answer, List.of(value + "/" + i));
        }
        return send(path + "/commit", MAPPER.createObjectNode().put("deadlineMs", deadlineMillis));
    }

    /** A transaction whose commit was never sent must not take effect, whatever the answer to its steps was. */
    private static Answer withoutCommit(Answer answer) {
        if (answer.result() == OperationResult.SESSION_WRITE_LOST) {
            return answer;
        }
        ObjectNode body = MAPPER.createObjectNode().put("kind", "TX_" + answer.kind());
        return new Answer(answer.status(), body.put("ran", "no"));
    }

    /** Begins a transaction, writes in it and never ends it. Returns the value, which must not be committed. */
    String abandonTransaction() {
        String value = value();
        String key = name + "-abandoned";
        Duration invoked = records.now();
        Answer begun = send(
                CallerClient.TRANSACTIONS,
                MAPPER.createObjectNode().put("rank", rank).put("deadlineMs", deadlineMillis));
        ObjectNode step = MAPPER.createObjectNode().put("deadlineMs", deadlineMillis);
        statement(step, "put", key).put("value", value);
        Answer answer =
                send("/v1/transactions/" + begun.body().path("transaction").asText() + "/statements", step);
        if (!answer.done()) {
            throw new IllegalStateException("no step in a transaction to abandon: " + begun + ", " + answer);
        }
        add(
                true,
                key,
                Optional.of(value),
                new Answer(0, MAPPER.createObjectNode().put("kind", "ABANDONED").put("ran", "no")),
                invoked,
                false,
                true);
        return value;
    }

    private void expectValues(Answer answer, List<String> values) {
        JsonNode results = answer.body().path("results");
        boolean whole = results.size() == values.size();
        for (int i = 0; whole && i < values.size(); i++) {
            whole = results.path(i).path("value").asText().equals(values.get(i));
        }
        if (!whole) {
            records.wrongAnswer("wrote " + values + ": " + answer);
        }
    }

    private void add(
            boolean write,
            String key,
            Optional<String> value,
            Answer answer,
            Duration invoked,
            boolean keyed,
            boolean transaction) {
        CallerOperation operation = new CallerOperation(
                name,
                GROUP,
                write,
                key,
                value,
                answer.result(),
                invoked,
                records.now(),
                Optional.of(answer.endpoint())
                        .filter(endpoint -> !endpoint.isEmpty())
                        .map(EndpointName::of));
        records.add(new Records.Seen(operation, answer.kind(), answer.endpoint(), keyed, transaction));
    }

    private Answer send(String path, ObjectNode body) {
        session.ifPresent(token -> body.put("session", token));
        List<String> known = daemons.get();
        if (known.isEmpty()) {
            return Answer.NONE;
        }
        turn++;
        Answer answer = client.post(known.get(Math.floorMod(turn, known.size())), path, body.toString());
        if (answer.body().path("session").isTextual()) {
            session = Optional.of(answer.body().path("session").textValue());
        }
        return answer;
    }

    private ObjectNode body(String access) {
        return MAPPER.createObjectNode().put("rank", rank).put("access", access).put("deadlineMs", deadlineMillis);
    }

    private static ObjectNode statement(ObjectNode body, String operation, String key) {
        return body.putArray("statements").addObject().put("op", operation).put("key", key);
    }

    private String key() {
        return name + "-" + random.nextInt(KEYS);
    }

    private String value() {
        request++;
        return name + "#" + request;
    }
}
