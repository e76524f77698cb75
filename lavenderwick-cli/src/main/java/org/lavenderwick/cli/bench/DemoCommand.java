package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.Set;

import com.beust.jcommander.Parameter;
import org.lavenderwick.cli.Command;
import org.lavenderwick.cli.ExitCode;
import org.lavenderwick.cli.Terminal;

/** Shows the proxy at work: two daemons, one group with lagging replicas, mixed load and a failover. */
public final class DemoCommand implements Command {
    private static final Duration REPLICA_LAG = Duration.ofMillis(150);
    private static final int LEAST_SECONDS = 9;
    private static final int MOST_SECONDS = 30;

    @Parameter(names = "--json", description = "Print one JSON object instead of a table.")
    private boolean json;

    @Parameter(names = "--seconds", description = "Measured time, from 9 to 30 s.")
    private int seconds = 18;

    @Parameter(names = "--seed", description = "Seed of the load.")
    private long seed = 1;

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String description() {
        return "Run two daemons over stand-ins with a mixed load and a failover, and report.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        if (seconds < LEAST_SECONDS || seconds > MOST_SECONDS) {
            return terminal.misuse("The option --seconds is outside 9 to 30.", "Choose a number between them.");
        }
        RunPlan plan = new RunPlan(
                Deployment.demo(),
                PolicyChoice.STANDARD,
                seed,
                Set.of(Scenario.FAILOVER),
                Duration.ofSeconds(seconds),
                REPLICA_LAG);
        RunCommand.Finished finished = RunCommand.run(plan, json, terminal);
        if (finished.code() != ExitCode.DONE) {
            return finished.code();
        }
        if (!writesResumed(finished.result())) {
            return terminal.fail("No write was served after the failover.", "See the refusals in the report.");
        }
        return ExitCode.DONE;
    }

    /** Returns whether a write that was sent after the cut, in a later term, was acknowledged. */
    private static boolean writesResumed(RunResult result) {
        return !result.history().openings().isEmpty()
                && result.outcomes().stream()
                        .anyMatch(outcome -> outcome.served()
                                && outcome.operation().write()
                                && outcome.sentAt().compareTo(result.plan().eventsFrom()) > 0
                                && result.history().writes().stream()
                                        .anyMatch(write -> write.point().term().number() > 1
                                                && outcome.operation()
                                                        .value()
                                                        .filter(write.value()::equals)
                                                        .isPresent()));
    }
}
