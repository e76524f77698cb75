package org.lavenderwick.core.failover;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/** The most recent replacements of the primary of one group, as stored in one store entry. Immutable. */
public final class FailoverHistory {

    /** Maximum number of replacements; enough for several days, as a group has a few a day at most. */
    static final int MAX_LENGTH = 50;

    /** Prefix of the store keys of the histories. */
    public static final String PREFIX = "audit/";

    /** A history without replacements. */
    public static final FailoverHistory EMPTY = new FailoverHistory(List.of());

    private static final char SEPARATOR = '\t';
    private static final int FIELDS = 5;

    /**
     * A completed replacement of a primary.
     *
     * @param at when the daemon found the new primary to lead, on the wall clock of the daemon
     * @param by the daemon that ran the failover
     * @param from the old primary
     * @param to the new primary
     * @param reason why the primary was replaced
     */
    public record Replacement(Instant at, DaemonName by, EndpointName from, EndpointName to, String reason) {}

    private final List<Replacement> replacements;

    private FailoverHistory(List<Replacement> replacements) {
        this.replacements = ImmutableList.copyOf(replacements);
    }

    /** Returns the store key of the history of a group. */
    public static String key(GroupName group) {
        return PREFIX + group.value();
    }

    /** Parses the text form that {@link #encode} returns. Skips malformed lines. */
    public static FailoverHistory decode(String text) {
        return new FailoverHistory(Splitter.on('\n')
                .omitEmptyStrings()
                .splitToStream(text)
                .flatMap(line -> decodeLine(line).stream())
                .toList());
    }

    private static Optional<Replacement> decodeLine(String line) {
        List<String> fields = Splitter.on(SEPARATOR).splitToList(line);
        if (fields.size() != FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Replacement(
                    Instant.parse(fields.get(0)),
                    DaemonName.of(fields.get(1)),
                    EndpointName.of(fields.get(2)),
                    EndpointName.of(fields.get(3)),
                    fields.get(4)));
        } catch (DateTimeParseException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the text form, with one line for each replacement. */
    public String encode() {
        return Joiner.on('\n')
                .join(replacements.stream()
                        .map(entry -> Joiner.on(SEPARATOR)
                                .join(
                                        entry.at(),
                                        entry.by().value(),
                                        entry.from().value(),
                                        entry.to().value(),
                                        entry.reason()))
                        .toList());
    }

    /** Returns a copy with the replacement appended, without the oldest ones beyond {@link #MAX_LENGTH}. */
    public FailoverHistory with(Replacement replacement) {
        return new FailoverHistory(Stream.concat(replacements.stream(), Stream.of(replacement))
                .skip(Math.max(0, replacements.size() + 1L - MAX_LENGTH))
                .toList());
    }

    /** Returns the replacements, oldest first. */
    public List<Replacement> replacements() {
        return replacements;
    }
}
