package org.lavenderwick.adapters.json;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** Writes RFC 9457 problem documents for failures. */
public final class ProblemDocuments {
    /** Media type of the documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:lavenderwick:problem:";
    private static final JsonFactory FACTORY = new JsonFactory();

    private ProblemDocuments() {}

    /** Returns the document of a failure, with a session token to continue with if there is one. */
    public static byte[] write(Failure failure, Optional<String> session) {
        ErrorKind kind = failure.kind();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeStringField("type", TYPE_PREFIX + words(kind).replace(' ', '-'));
            generator.writeStringField("title", title(kind));
            generator.writeNumberField("status", kind.httpStatus());
            generator.writeStringField("detail", failure.detail());
            generator.writeStringField("kind", kind.name());
            generator.writeStringField("ran", ran(kind));
            generator.writeStringField("repeatSafe", repeatSafe(kind));
            if (session.isPresent()) {
                generator.writeStringField("session", session.get());
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static String ran(ErrorKind kind) {
        return switch (kind.execution()) {
            case NOT_RUN -> "no";
            case RAN -> "yes";
            case UNKNOWN -> "unknown";
        };
    }

    private static String repeatSafe(ErrorKind kind) {
        return switch (kind.retryability()) {
            case SAFE -> "yes";
            case WITH_IDEMPOTENCY_KEY -> "with-idempotency-key";
            case USELESS -> "no";
        };
    }

    private static String title(ErrorKind kind) {
        String words = words(kind);
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }

    private static String words(ErrorKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
