package org.lavenderwick.cli;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The lines of the daemons' logs that explain what became of one request. */
final class RequestTimeline {

    /** Time before and after the lines of a request in which other events may have to do with it. */
    private static final Duration SURROUNDINGS = Duration.ofSeconds(10);

    private static final Pattern TIME = Pattern.compile("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(?:\\.\\d+)?Z");

    private static final Pattern GROUP = Pattern.compile("; group ([^ ,]+),");

    /** Parts of the daemon whose lines change what it believes. */
    private static final Pattern EVENT =
            Pattern.compile("\\[(?:fleet|failover|daemon|settings)] |clocks of the host parted");

    private record Line(String source, Instant at, String text) {}

    private final List<Line> lines = new ArrayList<>();

    /** Adds the lines of one log; lines without a time are left out. */
    void add(String source, List<String> log) {
        for (String text : log) {
            time(text).ifPresent(at -> lines.add(new Line(source, at, text)));
        }
    }

    private static Optional<Instant> time(String text) {
        Matcher matcher = TIME.matcher(text);
        try {
            return matcher.find() ? Optional.of(Instant.parse(matcher.group())) : Optional.empty();
        } catch (DateTimeParseException e) {
            // Digits that look like a time; the line belongs to no moment.
            return Optional.empty();
        }
    }

    /** Returns the lines of a request and those around them, oldest first; empty if no log knows the request. */
    List<String> explain(String request) {
        List<Line> own = lines.stream().filter(line -> isAbout(line, request)).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        Optional<String> group = own.stream()
                .map(line -> GROUP.matcher(line.text()))
                .filter(Matcher::find)
                .map(matcher -> matcher.group(1))
                .findFirst();
        return lines.stream()
                .filter(line -> isAbout(line, request) || (isNear(line, own) && mayMatter(line, group)))
                .sorted(Comparator.comparing(Line::at))
                .map(line -> (isAbout(line, request) ? "> " : "  ") + line.source() + ": " + line.text())
                .toList();
    }

    private static boolean isAbout(Line line, String request) {
        return line.text().contains("[request] " + request + " ");
    }

    private static boolean isNear(Line line, List<Line> own) {
        return own.stream()
                .anyMatch(other -> Duration.between(line.at(), other.at()).abs().compareTo(SURROUNDINGS) <= 0);
    }

    /** Returns whether a line tells of the group of the request, or of no group in particular. */
    private static boolean mayMatter(Line line, Optional<String> group) {
        if (!EVENT.matcher(line.text()).find()) {
            return false;
        }
        boolean ofSomeGroup = line.text().contains("[failover]") || line.text().contains("The primary ");
        return !ofSomeGroup
                || group.filter(name -> line.text().contains(" " + name)).isPresent();
    }
}
