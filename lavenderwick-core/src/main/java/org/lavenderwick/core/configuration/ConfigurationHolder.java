package org.lavenderwick.core.configuration;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** The newest configuration that this process has installed. Thread-safe; each read is a single volatile read. */
public final class ConfigurationHolder {

    private final AtomicReference<Configuration> current = new AtomicReference<>();

    /** Returns a holder in which no configuration is installed. */
    public static ConfigurationHolder create() {
        return new ConfigurationHolder();
    }

    /** Installs a configuration if it is newer than the installed one. Returns whether it was installed. */
    public boolean install(Configuration candidate) {
        Configuration previous =
                current.getAndUpdate(installed -> isNewer(candidate, installed) ? candidate : installed);
        return isNewer(candidate, previous);
    }

    /** Returns the installed configuration, or empty if there is none. */
    public Optional<Configuration> current() {
        return Optional.ofNullable(current.get());
    }

    /** Returns the installed configuration, or a failure of kind {@link ErrorKind#NOT_CONFIGURED} if there is none. */
    public Either<Failure, Configuration> require() {
        Configuration installed = current.get();
        return installed == null
                ? Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "The daemon has no configuration yet."))
                : Either.right(installed);
    }

    /** Returns the version of the installed configuration, or 0 if there is none. */
    public long version() {
        Configuration installed = current.get();
        return installed == null ? 0 : installed.version();
    }

    private static boolean isNewer(Configuration candidate, Configuration installed) {
        return installed == null || candidate.version() > installed.version();
    }
}
