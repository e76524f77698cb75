package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the run. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%10.1f %s%n", now(), text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void tell(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
