package org.lavenderwick.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** State of one caller's session. Only one operation of a session is under way at a time. */
final class CallerSession {
    /** Keys of its own that a session goes on to read. */
    private static final int REMEMBERED_KEYS = 8;

    private final String name;
    private final List<String> ownKeys = new ArrayList<>();
    private Optional<String> token = Optional.empty();
    private Optional<String> lastWrite = Optional.empty();
    private int daemon;
    private int values;

    CallerSession(String name, int daemon) {
        this.name = name;
        this.daemon = daemon;
    }

    String name() {
        return name;
    }

    Optional<String> token() {
        return token;
    }

    /** Returns the value of the newest acknowledged write that the token stands for. */
    Optional<String> lastWrite() {
        return lastWrite;
    }

    int daemon() {
        return daemon;
    }

    void moveTo(int changed) {
        daemon = changed;
    }

    /** Returns a value that no other request writes. */
    String newValue() {
        values++;
        return name + "-" + values;
    }

    /** Returns a key to read: mostly one that the session wrote. */
    String keyToRead(Random random, int keys) {
        boolean own = !ownKeys.isEmpty() && random.nextInt(4) > 0;
        return own ? ownKeys.get(random.nextInt(ownKeys.size())) : "k" + random.nextInt(keys);
    }

    /** Takes the answer to an operation. */
    void answered(boolean write, String key, Optional<String> value, Reply reply) {
        reply.session().ifPresent(changed -> token = Optional.of(changed));
        switch (reply.result()) {
            case ACKNOWLEDGED -> {
                if (write) {
                    lastWrite = value;
                    if (ownKeys.size() == REMEMBERED_KEYS) {
                        ownKeys.remove(0);
                    }
                    ownKeys.add(key);
                }
            }
            case SESSION_WRITE_LOST -> lastWrite = Optional.empty();
            default -> {
                // Nothing is known about the session's data.
            }
        }
    }
}
