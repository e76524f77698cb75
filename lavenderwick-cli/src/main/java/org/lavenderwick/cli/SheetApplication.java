package org.lavenderwick.cli;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import com.google.common.util.concurrent.Uninterruptibles;
import io.vavr.control.Either;
import org.lavenderwick.adapters.audit.AuditLog;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.sheet.Sheet;
import org.lavenderwick.cli.ConfigurationDocument.Stored;
import org.lavenderwick.core.audit.AuditEntry;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.ConfigurationChanges;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.time.Backoff;

/**
 * Puts a sheet in force: reads the configuration, replaces it by compare-and-swap and writes an audit entry. Session
 * keys are kept; the first configuration gets a new one. If another operator was first, nothing is changed.
 */
final class SheetApplication {

    private static final int READ_ATTEMPTS = 5;
    private static final Duration FIRST_DELAY = Duration.ofMillis(200);
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(2);
    private static final Duration AUDIT_TIME = Duration.ofSeconds(30);
    private static final int SESSION_KEY_BYTES = 32;

    private final ConfigurationDocument document;
    private final AuditLog audit;
    private final InstantSource clock;
    private final SecureRandom random;
    private final Terminal terminal;

    SheetApplication(
            PlatformPort platform, AuditLog audit, InstantSource clock, SecureRandom random, Terminal terminal) {
        this.document = new ConfigurationDocument(platform);
        this.audit = audit;
        this.clock = clock;
        this.random = random;
        this.terminal = terminal;
    }

    /** Applies the sheet in the name of the operator. */
    ExitCode apply(Sheet sheet, String operator) {
        Either<Failure, Optional<Stored>> read = readWithRetry();
        if (read.isLeft()) {
            return terminal.fail(
                    "The configuration cannot be read, nothing was changed: "
                            + read.getLeft().detail(),
                    "Check --platform and apply again.");
        }
        Optional<Stored> stored = read.get();
        Configuration next = sheet.toConfiguration(
                stored.map(current -> current.configuration().version()).orElse(0L) + 1,
                stored.map(current -> current.configuration().sessionKeys())
                        .filter(keys -> !keys.isEmpty())
                        .orElseGet(this::firstKeys));
        if (stored.filter(current -> hasSameContent(current.configuration(), next))
                .isPresent()) {
            terminal.print("Version " + (next.version() - 1) + " stays in force: the sheet changes nothing.");
            return ExitCode.DONE;
        }
        Either<Failure, Long> written =
                document.write(next, stored.map(Stored::revision).orElse(PlatformPort.ABSENT));
        if (written.isRight() || wasWritten(written.getLeft(), next)) {
            return recordChange(stored.map(Stored::configuration), next, operator);
        }
        return explain(written.getLeft(), next.version());
    }

    private Either<Failure, Optional<Stored>> readWithRetry() {
        Backoff backoff = Backoff.create(FIRST_DELAY, LONGEST_DELAY, random);
        Either<Failure, Optional<Stored>> read = document.read();
        for (int attempt = 1; attempt < READ_ATTEMPTS && isUnavailable(read); attempt++) {
            Uninterruptibles.sleepUninterruptibly(backoff.nextDelay());
            read = document.read();
        }
        return read;
    }

    /** Returns whether a write without an answer took effect, which the value read back shows. */
    private boolean wasWritten(Failure failure, Configuration next) {
        return failure.kind() == ErrorKind.PLATFORM_UNAVAILABLE
                && readWithRetry()
                        .map(stored -> stored.map(Stored::configuration)
                                .filter(next::equals)
                                .isPresent())
                        .getOrElse(false);
    }

    private ExitCode recordChange(Optional<Configuration> previous, Configuration next, String operator) {
        String to = "version " + next.version()
                + previous.map(from -> ": " + summary(from, next)).orElse("");
        String from = previous.map(current -> "version " + current.version()).orElse("none");
        terminal.print("Version " + next.version() + " is in force (before: " + from + ").");
        previous.ifPresent(current -> terminal.print("Changes: " + summary(current, next) + "."));
        AuditEntry entry = new AuditEntry(operator, clock.instant(), "configuration", from, to);
        Either<Failure, Integer> appended = audit.append(entry, AUDIT_TIME).join();
        return appended.isRight()
                ? ExitCode.DONE
                : terminal.fail(
                        "The configuration is in force but has no audit entry: "
                                + appended.getLeft().detail(),
                        "Report the change to whoever keeps the audit.");
    }

    private ExitCode explain(Failure failure, long version) {
        if (failure.kind() == ErrorKind.VERSION_CONFLICT) {
            String inForce = readWithRetry()
                    .map(stored -> stored.map(current ->
                                    "version " + current.configuration().version())
                            .orElse("none"))
                    .getOrElse("unknown");
            return terminal.fail(
                    "Another operator changed the configuration first (in force: " + inForce
                            + "); nothing was applied.",
                    "Check that change with lavenderwick audit and apply again.");
        }
        if (failure.kind() == ErrorKind.PLATFORM_UNAVAILABLE) {
            return terminal.fail(
                    "The platform did not confirm version " + version + "; it may be in force: " + failure.detail(),
                    "Apply again: a sheet that is in force changes nothing.");
        }
        return terminal.fail("Nothing was applied: " + failure.detail(), "Make the sheet smaller.");
    }

    private List<SessionKey> firstKeys() {
        byte[] secret = new byte[SESSION_KEY_BYTES];
        random.nextBytes(secret);
        return List.of(new SessionKey("k1", Base64.getEncoder().encodeToString(secret)));
    }

    private static boolean isUnavailable(Either<Failure, ?> answer) {
        return answer.isLeft() && answer.getLeft().kind() == ErrorKind.PLATFORM_UNAVAILABLE;
    }

    private static boolean hasSameContent(Configuration first, Configuration second) {
        return first.services().equals(second.services())
                && first.groups().equals(second.groups())
                && first.plannedStops().equals(second.plannedStops())
                && first.sessionKeys().equals(second.sessionKeys());
    }

    private static String summary(Configuration from, Configuration to) {
        ConfigurationChanges changes = ConfigurationChanges.between(from, to);
        return "services %d set, %d removed; groups %d set, %d removed; planned stops %d"
                .formatted(
                        changes.upsertedServices().size(),
                        changes.removedServices().size(),
                        changes.upsertedGroups().size(),
                        changes.removedGroups().size(),
                        changes.plannedStops().size());
    }
}
