package org.lavenderwick.core.ratelimit;

import java.util.List;
import java.util.Optional;

import com.google.common.base.Enums;
import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import org.lavenderwick.core.model.DaemonName;

/**
 * The value of the store entry of a part.
 *
 * @param holder the daemon that grants for the part
 * @param era the era of the store in which it was written; a copy of the store may hold an entry of an earlier one
 * @param phase how far the holder is
 */
public record PartEntry(DaemonName holder, long era, Phase phase) {

    private static final int LINES = 3;

    /** How far a holder is, which tells its next process how long to wait. */
    public enum Phase {
        /** The holder waits until the one before has certainly stopped. */
        WAITING,
        /** The holder grants; permits of the one before may still be in use. */
        STARTING,
        /** All permits that may be in use are of the holder. */
        SETTLED
    }

    /** Returns the text of the entry. */
    public String encode() {
        return holder.value() + "\n" + era + "\n" + phase;
    }

    /** Returns the parsed entry; empty if the text is not valid. */
    public static Optional<PartEntry> decode(String text) {
        List<String> lines = Splitter.on('\n').splitToList(text);
        if (lines.size() != LINES || lines.get(0).isEmpty()) {
            return Optional.empty();
        }
        Long era = Longs.tryParse(lines.get(1));
        return Optional.ofNullable(Enums.getIfPresent(Phase.class, lines.get(2)).orNull())
                .filter(phase -> era != null)
                .map(phase -> new PartEntry(DaemonName.of(lines.get(0)), era, phase));
    }
}
