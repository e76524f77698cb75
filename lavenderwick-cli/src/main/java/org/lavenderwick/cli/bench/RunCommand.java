package org.lavenderwick.cli.bench;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.lavenderwick.cli.ExitCode;
import org.lavenderwick.cli.Terminal;
import org.lavenderwick.standins.history.HistoryChecker;
import org.lavenderwick.standins.history.Violation;

/** Runs a plan, judges the history and writes the report. */
final class RunCommand {
    private static final int SHOWN_VIOLATIONS = 5;

    private RunCommand() {}

    /** Runs the plan; a run with a violation fails. */
    static Finished run(RunPlan plan, boolean json, Terminal terminal) {
        RunResult result;
        try {
            result = new BenchRun(plan, terminal::note).run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the run was interrupted", e);
        } catch (Exception e) {
            throw new IllegalStateException("the run failed", e);
        }
        List<Violation> violations = HistoryChecker.check(result.history());
        BenchReport report = Measures.report(result, violations);
        if (json) {
            terminal.print(json(report));
        } else {
            ReportTable.lines(report).forEach(terminal::print);
        }
        violations.stream()
                .limit(SHOWN_VIOLATIONS)
                .forEach(violation -> terminal.note(violation.kind() + ": " + violation.detail()));
        ExitCode code = violations.isEmpty()
                ? ExitCode.DONE
                : terminal.fail(violations.size() + " violations were found.", "See the first ones above.");
        return new Finished(result, report, code);
    }

    private static String json(BenchReport report) {
        try {
            return JsonMapper.builder().addModule(new Jdk8Module()).build().writeValueAsString(report);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the report has no JSON form", e);
        }
    }

    /**
     * A run that ended.
     *
     * @param result what was seen
     * @param report its measures
     * @param code done if no guarantee was broken
     */
    record Finished(RunResult result, BenchReport report, ExitCode code) {}
}
