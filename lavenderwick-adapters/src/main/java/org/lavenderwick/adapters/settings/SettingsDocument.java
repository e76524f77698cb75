package org.lavenderwick.adapters.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;

/** Reads a settings file: one JSON object, checked whole. */
final class SettingsDocument {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SettingsDocument() {}

    /** Returns what a reading makes of a file, or every problem found in it. */
    static <T> Either<List<SettingsProblem>, T> load(
            Path file, BiFunction<SettingsReader, List<SettingsProblem>, T> reading) {
        try {
            return parse(Files.readString(file), reading);
        } catch (NoSuchFileException e) {
            return problem(file.toString(), "the file does not exist");
        } catch (CharacterCodingException e) {
            return problem(file.toString(), "the file is not UTF-8 text");
        } catch (IOException e) {
            return problem(file.toString(), "the file cannot be read (" + e.getMessage() + ")");
        }
    }

    /** Returns what a reading makes of a JSON text, or every problem found in it. */
    static <T> Either<List<SettingsProblem>, T> parse(
            String json, BiFunction<SettingsReader, List<SettingsProblem>, T> reading) {
        JsonNode root;
        try {
            root = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            String place = e.getLocation() == null
                    ? "(file)"
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            return problem(place, "is not valid JSON (" + e.getOriginalMessage() + ")");
        }
        if (!root.isObject()) {
            return problem("(file)", "must be one JSON object");
        }
        List<SettingsProblem> problems = new ArrayList<>();
        T settings = reading.apply(SettingsReader.of(root, problems), problems);
        return problems.isEmpty() ? Either.right(settings) : Either.left(ImmutableList.copyOf(problems));
    }

    private static <T> Either<List<SettingsProblem>, T> problem(String path, String reason) {
        return Either.left(List.of(new SettingsProblem(path, reason)));
    }
}
