package org.lavenderwick.cli;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import org.lavenderwick.core.audit.AuditEntry;
import org.lavenderwick.core.error.Failure;

/** Shows who changed what. */
final class AuditCommand implements Command {

    private static final int MAX_DAYS = 366;

    @ParametersDelegate
    private final PlatformOptions platformOptions = new PlatformOptions();

    @Parameter(
            names = {"--day"},
            description = "Last day to show, in UTC, as 2026-12-04; today by default.")
    private String day;

    @Parameter(
            names = {"--days"},
            description = "Number of days to show, from 1 to 366.")
    private int days = 1;

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String description() {
        return "Show who changed the configuration or a primary, oldest change first.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        LocalDate last;
        try {
            last = day == null ? LocalDate.now(ZoneOffset.UTC) : LocalDate.parse(day);
        } catch (DateTimeParseException e) {
            return terminal.misuse("--day is \"" + day + "\".", "Write it as 2026-12-04.");
        }
        if (days < 1 || days > MAX_DAYS) {
            return terminal.misuse("--days is " + days + ".", "Give a number from 1 to " + MAX_DAYS + ".");
        }
        try (PlatformSession session = PlatformSession.open(platformOptions)) {
            for (LocalDate date = last.minusDays(days - 1L); !date.isAfter(last); date = date.plusDays(1)) {
                Instant start = date.atStartOfDay(ZoneOffset.UTC).toInstant();
                Either<Failure, List<AuditEntry>> entries =
                        session.audit().entriesOf(start).join();
                if (entries.isLeft()) {
                    return terminal.fail(
                            "The audit log of " + date + " cannot be read: "
                                    + entries.getLeft().detail(),
                            "Check --platform and try again.");
                }
                entries.get().forEach(entry -> terminal.print(line(entry)));
            }
        }
        return ExitCode.DONE;
    }

    private static String line(AuditEntry entry) {
        return "%s  %s  %s  %s -> %s".formatted(entry.when(), entry.who(), entry.what(), entry.from(), entry.to());
    }
}
