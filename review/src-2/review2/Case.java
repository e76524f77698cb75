package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

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
        Path temporary = Files.createTempDirectory("review");
        try (Record record = new Record(folder.resolve("record.txt"))) {
            boolean broken = body.run(record, temporary);
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
