package org.lavenderwick.daemon.entry;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.session.SessionTokenCodec;

/** Cache of the session token codec for the session keys in force. Thread-safe. */
public final class SessionTokenCodecCache {
    private static final Logger LOG = Logger.getLogger(SessionTokenCodecCache.class);

    private final AtomicReference<CachedCodec> cached = new AtomicReference<>();

    /** Returns the codec for the session keys of a configuration, or a failure if the keys are invalid. */
    public Either<Failure, SessionTokenCodec> codec(Configuration configuration) {
        CachedCodec current = cached.get();
        if (current != null && current.keys.equals(configuration.sessionKeys())) {
            return Either.right(current.codec);
        }
        try {
            CachedCodec created =
                    new CachedCodec(configuration.sessionKeys(), SessionTokenCodec.of(configuration.sessionKeys()));
            cached.set(created);
            return Either.right(created.codec);
        } catch (IllegalArgumentException e) {
            LOG.errorf(
                    "[session] Configuration %d has invalid session keys; rejecting requests: %s",
                    configuration.version(), e.getMessage());
            return Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "The configuration has no usable session key."));
        }
    }

    private record CachedCodec(List<SessionKey> keys, SessionTokenCodec codec) {}
}
