package org.lavenderwick.standins;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** The statements of the stand-in: {@code get}, {@code put} and {@code add} over keys. Each result holds a value. */
final class Statements {

    private static final JsonNodeFactory NODES = JsonNodeFactory.withExactBigDecimals(true);

    private Statements() {}

    /** Returns the keys that the statements name. */
    static List<String> keys(JsonNode statements) {
        List<String> keys = new ArrayList<>();
        statements.forEach(statement -> {
            if (statement.path("key").isTextual()) {
                keys.add(statement.get("key").textValue());
            }
        });
        return keys;
    }

    /**
     * Runs the statements in order. Writes go to the given map, whose values hide the committed ones; on a failure the
     * map is unchanged.
     */
    static ArrayNode run(
            JsonNode statements,
            boolean mayWrite,
            Map<String, JsonNode> writes,
            Function<String, Optional<JsonNode>> committed)
            throws StatementException {
        if (!statements.isArray()) {
            throw new StatementException("The statements are not an array.");
        }
        Map<String, JsonNode> changed = new LinkedHashMap<>(writes);
        ArrayNode results = NODES.arrayNode();
        for (JsonNode statement : statements) {
            if (!statement.path("key").isTextual()) {
                throw new StatementException("A statement names no key.");
            }
            String key = statement.get("key").textValue();
            JsonNode current = changed.containsKey(key)
                    ? changed.get(key)
                    : committed.apply(key).orElse(NODES.nullNode());
            JsonNode result = evaluate(statement, current);
            if (!statement.path("op").asText().equals("get")) {
                if (!mayWrite) {
                    throw new StatementException("A read request may not change data.");
                }
                changed.put(key, result);
            }
            results.addObject().set("value", result);
        }
        writes.putAll(changed);
        return results;
    }

    /** Returns the value of the key after the statement. */
    private static JsonNode evaluate(JsonNode statement, JsonNode current) throws StatementException {
        switch (statement.path("op").asText()) {
            case "get":
                return current;
            case "put":
                if (!statement.has("value")) {
                    throw new StatementException("A put statement has no value.");
                }
                return statement.get("value");
            case "add":
                JsonNode amount = statement.path("amount");
                if (!amount.isIntegralNumber()) {
                    throw new StatementException("An add statement has no whole amount.");
                }
                if (!current.isNull() && !current.isIntegralNumber()) {
                    throw new StatementException("The value to add to is not a whole number.");
                }
                BigInteger sum = current.bigIntegerValue().add(amount.bigIntegerValue());
                return sum.bitLength() < Long.SIZE ? NODES.numberNode(sum.longValue()) : NODES.numberNode(sum);
            default:
                throw new StatementException("A statement has an unknown operation.");
        }
    }

    /** A statement that the database rejects. */
    static final class StatementException extends Exception {
        StatementException(String detail) {
            super(detail);
        }
    }
}
