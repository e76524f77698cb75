package org.lavenderwick.core.configuration;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** Holds the configuration in force. Thread-safe; reads are one volatile read. */
public final class ConfigurationHolder {

    private final AtomicReference<Configuration> current = new AtomicReference<>();

    /** Returns a holder without a configuration. */
    public static ConfigurationHolder create() {
        return new ConfigurationHolder();
    }

    /** Installs a configuration if it is newer than the one in force, and returns whether it was. */
    public boolean install(Configuration candidate) {
        Configuration previous = current.getAndUpdate(held -> isNewer(candidate, held) ? candidate : held);
        return isNewer(candidate, previous);
    }

    /** Returns the configuration in force, if one has been installed. */
    public Optional<Configuration> current() {
        return Optional.ofNullable(current.get());
    }

    /** Returns the configuration in force, or the refusal {@code NOT_CONFIGURED}. */
    public Either<Failure, Configuration> require() {
        Configuration held = current.get();
        return held == null
                ? Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "The daemon has no configuration yet."))
                : Either.right(held);
    }

    /** Returns the version in force, 0 for none. */
    public long version() {
        Configuration held = current.get();
        return held == null ? 0 : held.version();
    }

    private static boolean isNewer(Configuration candidate, Configuration held) {
        return held == null || candidate.version() > held.version();
    }
}
