package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case, one line for each event, with the milliseconds since its start. Thread-safe. */
public final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    /** Creates or replaces the file. */
    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the start. */
    public long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line. */
    public synchronized void line(String format, Object... values) {
        out.printf("%7d ms  %s%n", now(), String.format(format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
