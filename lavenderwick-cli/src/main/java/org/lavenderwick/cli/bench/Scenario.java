package org.lavenderwick.cli.bench;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** What happens to the cluster in a run. Several may happen at once. */
enum Scenario {
    /** Nothing. */
    STEADY,
    /** The primary of one group is cut off from all other failure domains. */
    FAILOVER,
    /** All replicas are 4 s behind. */
    LAGGING,
    /** The lowest rank of one group asks for one and a half times what the group can serve. */
    FLOOD_LOW,
    /** The most urgent rank of one group asks for one and a half times what the group can serve. */
    FLOOD_HIGH,
    /** A planned stop of the primary of one group begins. */
    LEAVING,
    /** The platform refuses all connections. */
    PLATFORM_DOWN;

    /** Returns the scenarios that a text such as {@code failover+flood-low} names; empty if it names an unknown one. */
    static Optional<Set<Scenario>> parse(String text) {
        Set<Scenario> result = EnumSet.noneOf(Scenario.class);
        for (String part : text.split("\\+")) {
            Optional<Scenario> scenario = Arrays.stream(values())
                    .filter(value -> value.label().equals(part))
                    .findFirst();
            if (scenario.isEmpty()) {
                return Optional.empty();
            }
            result.add(scenario.get());
        }
        return Optional.of(result);
    }

    /** Returns the text for a set of scenarios. */
    static String label(Set<Scenario> scenarios) {
        return scenarios.stream().map(Scenario::label).collect(Collectors.joining("+"));
    }

    /** Returns the name on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
