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
 * A part of the audit log that is stored under one platform key. Each line consists of the id of an entry, a space and
 * the encoded entry. All changes recorded in a chunk were made on the same day in UTC.
 *
 * @param text the lines, each terminated by a newline
 */
public record AuditChunk(String text) {

    /** Maximum size in UTF-8 bytes; far below the platform's limit of 1 MB, because each append rewrites the chunk. */
    public static final int MAX_BYTES = 256 * 1024;

    /** The chunk without entries, which stands for a key that does not exist. */
    public static final AuditChunk EMPTY = new AuditChunk("");

    private static final DateTimeFormatter DAY =
            DateTimeFormatter.ofPattern("uuuu-MM-dd").withZone(ZoneOffset.UTC);

    private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

    /** Returns the platform key of a chunk for the day of the given time. The keys of a day sort by chunk number. */
    public static String key(Instant when, int number) {
        checkArgument(number >= 0, "chunk number is negative: %s", number);
        return "%s%04d".formatted(prefix(when), number);
    }

    /** Returns the common prefix of all keys for the day of the given time. */
    public static String prefix(Instant when) {
        return "audit/" + DAY.format(when) + "/";
    }

    /** Returns whether the chunk contains an entry with the given id. Takes time linear in the size of the chunk. */
    public boolean contains(String id) {
        return text.startsWith(id + " ") || text.contains("\n" + id + " ");
    }

    /** Returns a copy of this chunk with the entry appended, or empty if it would exceed {@link #MAX_BYTES}. */
    public Optional<AuditChunk> with(String id, String encoded) {
        AuditChunk extended = new AuditChunk(text + line(id, encoded));
        return extended.text.getBytes(StandardCharsets.UTF_8).length <= MAX_BYTES
                ? Optional.of(extended)
                : Optional.empty();
    }

    /** Returns the encoded entries, oldest first. */
    public List<String> encodedEntries() {
        return LINES.splitToStream(text)
                .map(line -> line.substring(line.indexOf(' ') + 1))
                .toList();
    }

    private static String line(String id, String encoded) {
        checkArgument(!id.isEmpty() && id.indexOf(' ') < 0 && id.indexOf('\n') < 0, "invalid entry id: %s", id);
        checkArgument(encoded.indexOf('\n') < 0, "encoded entry contains a newline");
        return id + " " + encoded + "\n";
    }
}
