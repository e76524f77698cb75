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

/** Keeps the codec for the session keys in force. Thread-safe. */
public final class Sessions {
    private static final Logger LOG = Logger.getLogger(Sessions.class);

    private final AtomicReference<Prepared> prepared = new AtomicReference<>();

    /** Returns the codec for the keys of a configuration. */
    public Either<Failure, SessionTokenCodec> codec(Configuration configuration) {
        Prepared known = prepared.get();
        if (known != null && known.keys.equals(configuration.sessionKeys())) {
            return Either.right(known.codec);
        }
        try {
            Prepared next =
                    new Prepared(configuration.sessionKeys(), SessionTokenCodec.of(configuration.sessionKeys()));
            prepared.set(next);
            return Either.right(next.codec);
        } catch (IllegalArgumentException e) {
            LOG.errorf(
                    "[session] The session keys of configuration %d are of no use: %s",
                    configuration.version(), e.getMessage());
            return Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "The configuration has no usable session key."));
        }
    }

    private record Prepared(List<SessionKey> keys, SessionTokenCodec codec) {}
}
