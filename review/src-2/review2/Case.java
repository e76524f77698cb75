package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runs a case with a record and a temporary folder, and returns its exit status. */
final class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** A case; returns whether the rule was broken. */
    interface Body {
        boolean run(Record record, Path temporary) throws Exception;
    }

    private Case() {}

    static int run(Path folder, String rule, Body body) throws IOException {
        AtomicBoolean threadFailed = new AtomicBoolean();
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            cause.printStackTrace();
            threadFailed.set(true);
        });
        Path temporary = Files.createTempDirectory("review");
        try (Record record = new Record(folder.resolve("record.txt"))) {
            boolean broken = body.run(record, temporary);
            if (threadFailed.get()) {
                throw new IOException("a thread of the test failed, so there is no verdict");
            }
            record.tell(broken ? "%s is broken" : "%s held", rule);
            return broken ? BROKEN : HELD;
        } catch (Exception e) {
            e.printStackTrace();
            return NOT_RUN;
        } finally {
            try (var files = Files.list(temporary)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(temporary);
        }
    }
}
