package org.lavenderwick.adapters.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * Reads the keys of one JSON object and collects every fault. After a fault a placeholder is returned; the caller uses
 * the values only if there is no problem at the end.
 */
final class SettingsReader {

    private static final int MILLIS_PER_SECOND = 1000;

    private final String prefix;
    private final JsonNode node;
    private final List<SettingsProblem> problems;
    private final Set<String> unread;

    private SettingsReader(String prefix, JsonNode node, List<SettingsProblem> problems) {
        this.prefix = prefix;
        this.node = node;
        this.problems = problems;
        this.unread = new TreeSet<>();
        node.fieldNames().forEachRemaining(unread::add);
    }

    static SettingsReader of(JsonNode root, List<SettingsProblem> problems) {
        return new SettingsReader("", root, problems);
    }

    /** Returns a required text for which the rule holds. */
    String text(String key, String expected, Predicate<String> rule) {
        JsonNode value = take(key);
        if (value == null) {
            report(key, "is missing; expected " + expected);
            return "";
        }
        return checkedText(key, value, expected, rule);
    }

    /** Returns an optional text that must be one of the given ones; the first is the default. */
    String choice(String key, List<String> choices) {
        JsonNode value = take(key);
        return value == null
                ? choices.get(0)
                : checkedText(key, value, "one of " + String.join(", ", choices), choices::contains);
    }

    /** Returns a required whole number in a range. */
    int integer(String key, int min, int max) {
        JsonNode value = take(key);
        if (value == null) {
            report(key, "is missing; expected a whole number from " + min + " to " + max);
            return min;
        }
        return (int) checkedNumber(key, value, min, max);
    }

    /** Returns an optional whole number in a range. */
    int integer(String key, int min, int max, int defaultValue) {
        JsonNode value = take(key);
        return value == null ? defaultValue : (int) checkedNumber(key, value, min, max);
    }

    /** Returns an optional duration, written as whole milliseconds. */
    Duration millis(String key, Duration max, Duration defaultValue) {
        JsonNode value = take(key);
        return value == null ? defaultValue : Duration.ofMillis(checkedNumber(key, value, 1, max.toMillis()));
    }

    /** Returns a required positive duration, written as seconds, whole or not. */
    Duration seconds(String key, Duration max) {
        JsonNode value = take(key);
        String expected = "; expected a number of seconds above 0 and up to " + max.toSeconds();
        if (value == null) {
            report(key, "is missing" + expected);
            return max;
        }
        if (!value.isNumber() || value.doubleValue() <= 0 || value.doubleValue() > max.toSeconds()) {
            report(key, "is " + value + expected);
            return max;
        }
        return Duration.ofMillis((long) (value.doubleValue() * MILLIS_PER_SECOND));
    }

    /** Returns a required number, whole or not, in a range. */
    double number(String key, double min, double max) {
        JsonNode value = take(key);
        String expected = "; expected a number from " + min + " to " + max;
        if (value == null) {
            report(key, "is missing" + expected);
            return min;
        }
        if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
            report(key, "is " + value + expected);
            return min;
        }
        return value.doubleValue();
    }

    /** Returns whether a key is present. */
    boolean has(String key) {
        return node.has(key);
    }

    /** Returns an optional list of texts for which the rule holds; empty by default. */
    List<String> texts(String key, String expected, Predicate<String> rule) {
        List<String> texts = new ArrayList<>();
        JsonNode value = take(key);
        if (value != null && !value.isArray()) {
            report(key, "must be a list, each entry " + expected);
        } else if (value != null) {
            for (int index = 0; index < value.size(); index++) {
                texts.add(checkedText(key + "[" + index + "]", value.get(index), expected, rule));
            }
        }
        return texts;
    }

    /** Returns a reader of an optional object, without keys by default. */
    SettingsReader object(String key) {
        JsonNode value = take(key);
        if (value != null && !value.isObject()) {
            report(key, "must be an object");
        }
        JsonNode object = value != null && value.isObject() ? value : JsonNodeFactory.instance.objectNode();
        return new SettingsReader(prefix + key + ".", object, problems);
    }

    /** Reports the keys that nothing has read. */
    void finish() {
        unread.forEach(key -> report(key, "is not a known key"));
    }

    private JsonNode take(String key) {
        unread.remove(key);
        return node.get(key);
    }

    private String checkedText(String key, JsonNode value, String expected, Predicate<String> rule) {
        if (!value.isTextual() || !rule.test(value.textValue())) {
            report(key, "is " + value + "; expected " + expected);
            return "";
        }
        return value.textValue();
    }

    private long checkedNumber(String key, JsonNode value, long min, long max) {
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < min
                || value.longValue() > max) {
            report(key, "is " + value + "; expected a whole number from " + min + " to " + max);
            return min;
        }
        return value.longValue();
    }

    private void report(String key, String reason) {
        problems.add(new SettingsProblem(prefix + key, reason));
    }
}
