package org.lavenderwick.adapters.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/** Writes the bodies of answers. Thread-safe. */
final class AnswerWriter {
    private final JsonFactory factory = new JsonFactory();

    byte[] write(CallerAnswer answer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = factory.createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeFieldName("results");
            generator.writeRawValue(new String(answer.results(), StandardCharsets.UTF_8));
            if (answer.session().isPresent()) {
                generator.writeStringField("session", answer.session().get());
            }
            if (answer.transaction().isPresent()) {
                generator.writeStringField("transaction", answer.transaction().get());
            }
            if (answer.endpoint().isPresent()) {
                generator.writeStringField("endpoint", answer.endpoint().get());
            }
            generator.writeBooleanField("primary", answer.primary());
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
