package org.lavenderwick.cli.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import com.beust.jcommander.Parameter;
import org.lavenderwick.cli.Command;
import org.lavenderwick.cli.ExitCode;
import org.lavenderwick.cli.Terminal;

/** Measures a policy under the load of one organisation. */
public final class BenchCommand implements Command {
    @Parameter(names = "--deployment", description = "huancahuasi or keenedge.", required = true)
    private String deployment;

    @Parameter(names = "--policy", description = "standard, primary-only, fifo, fixed-pool or baseline.")
    private String policy = "standard";

    @Parameter(names = "--seed", description = "Seed of the load.")
    private long seed = 1;

    @Parameter(
            names = "--scenario",
            description = "steady, failover, lagging, flood-low, flood-high, leaving, platform-down; joined by +.")
    private String scenario = "steady";

    @Parameter(names = "--seconds", description = "Measured time, from 3 to 600 s.")
    private int seconds = 20;

    @Parameter(names = "--json", description = "Print one JSON object instead of a table.")
    private boolean json;

    @Parameter(names = "--report", description = "Also write plots to this .html or .svg file.")
    private String report;

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String description() {
        return "Measure a policy on a local cluster under load, faults and floods.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        Optional<Deployment> chosen =
                switch (deployment) {
                    case "huancahuasi" -> Optional.of(Deployment.huancahuasi());
                    case "keenedge" -> Optional.of(Deployment.keenedge());
                    default -> Optional.empty();
                };
        Optional<PolicyChoice> choice = PolicyChoice.parse(policy);
        Optional<Set<Scenario>> scenarios = Scenario.parse(scenario);
        if (chosen.isEmpty() || choice.isEmpty() || scenarios.isEmpty()) {
            return terminal.misuse(
                    "The deployment, policy or scenario is unknown.", "See lavenderwick bench --help for the names.");
        }
        if (seconds < 3 || seconds > 600) {
            return terminal.misuse("The option --seconds is outside 3 to 600.", "Choose a number between them.");
        }
        if (report != null && !report.endsWith(".html") && !report.endsWith(".svg")) {
            return terminal.misuse("The report is neither .html nor .svg.", "Choose one of the two.");
        }
        RunPlan plan = new RunPlan(
                chosen.get(), choice.get(), seed, scenarios.get(), Duration.ofSeconds(seconds), Duration.ZERO);
        RunCommand.Finished finished = RunCommand.run(plan, json, terminal);
        if (report != null) {
            try {
                PlotReport.write(finished.result(), finished.report(), Path.of(report));
            } catch (IOException e) {
                return terminal.fail(
                        "The report " + report + " cannot be written (" + e.getMessage() + ").",
                        "Check that its directory exists and that you may write there.");
            }
        }
        return finished.code();
    }
}
