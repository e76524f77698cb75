package org.lavenderwick.cli;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** The configuration document on the platform. Calls wait for their answer. */
final class ConfigurationDocument {

    static final String KEY = "configuration/current";

    private final PlatformPort platform;
    private final JsonMapper mapper = JsonMappers.create();

    ConfigurationDocument(PlatformPort platform) {
        this.platform = platform;
    }

    /** A configuration and the revision of its key. */
    record Stored(Configuration configuration, long revision) {}

    /** Returns the configuration in force, empty if there is none yet. */
    Either<Failure, Optional<Stored>> read() {
        return platform.read(KEY).join().flatMap(value -> {
            if (value.isEmpty()) {
                return Either.right(Optional.empty());
            }
            return parse(value.get()).map(Optional::of);
        });
    }

    /** Writes a configuration if the key still has the expected revision. */
    Either<Failure, Long> write(Configuration configuration, long expectedRevision) {
        try {
            String json = mapper.writeValueAsString(configuration);
            return platform.compareAndSwap(KEY, json, expectedRevision).join();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a configuration has no JSON form", e);
        }
    }

    private Either<Failure, Stored> parse(VersionedValue value) {
        try {
            return Either.right(new Stored(mapper.readValue(value.value(), Configuration.class), value.revision()));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(
                    ErrorKind.INTERNAL_ERROR, "The key " + KEY + " holds no configuration: " + e.getOriginalMessage()));
        }
    }
}
