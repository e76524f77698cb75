package org.lavenderwick.core.audit;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Optional;

import com.google.common.base.Splitter;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Value of one platform key of the audit log: a line for each entry, with its id, a space and its encoded form. An
 * entry lies in a chunk of the day of its change, in UTC.
 *
 * @param text all lines, each ended by a newline
 */
public record AuditChunk(String text) {

    /** Largest chunk in UTF-8 bytes. A chunk is rewritten for each entry, so it stays far below the platform's 1 MB. */
    public static final int MAX_BYTES = 256 * 1024;

    /** The chunk of a key that does not exist yet. */
    public static final AuditChunk EMPTY = new AuditChunk("");

    private static final DateTimeFormatter DAY =
            DateTimeFormatter.ofPattern("uuuu-MM-dd").withZone(ZoneOffset.UTC);

    private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

    /** Returns the platform key of a chunk of the day of the given time. Keys of a day sort by chunk number. */
    public static String key(Instant when, int number) {
        checkArgument(number >= 0, "chunk number is negative: %s", number);
        return "%s%04d".formatted(prefix(when), number);
    }

    /** Returns the prefix of all keys of the day of the given time. */
    public static String prefix(Instant when) {
        return "audit/" + DAY.format(when) + "/";
    }

    /** Returns whether an entry with the id is in the chunk. Linear in the size of the chunk. */
    public boolean contains(String id) {
        return text.startsWith(id + " ") || text.contains("\n" + id + " ");
    }

    /** Returns the chunk with a further entry, or empty if it would exceed the limit. */
    public Optional<AuditChunk> with(String id, String encoded) {
        AuditChunk longer = new AuditChunk(text + line(id, encoded));
        return longer.text.getBytes(StandardCharsets.UTF_8).length <= MAX_BYTES
                ? Optional.of(longer)
                : Optional.empty();
    }

    /** Returns the encoded entries, oldest first. */
    public List<String> encodedEntries() {
        return LINES.splitToStream(text)
                .map(line -> line.substring(line.indexOf(' ') + 1))
                .toList();
    }

    private static String line(String id, String encoded) {
        checkArgument(!id.isEmpty() && id.indexOf(' ') < 0 && id.indexOf('\n') < 0, "id is not a word: %s", id);
        checkArgument(encoded.indexOf('\n') < 0, "encoded entry has more than one line");
        return id + " " + encoded + "\n";
    }
}
