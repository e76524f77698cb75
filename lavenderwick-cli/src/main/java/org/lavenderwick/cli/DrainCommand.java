package org.lavenderwick.cli;

import java.util.Map;

import com.beust.jcommander.ParametersDelegate;

/** Starts the graceful shutdown of a daemon. */
final class DrainCommand implements Command {

    @ParametersDelegate
    private final OperatorClient daemon = new OperatorClient();

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String description() {
        return "Let a daemon finish its work and take no more.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return daemon.post("/drain", Map.of())
                .fold(reason -> terminal.fail(reason, "Check --operator-address and that the daemon runs."), answer -> {
                    terminal.print(
                            "The daemon at " + daemon.address() + " takes no new work and finishes what is in flight.");
                    return ExitCode.DONE;
                });
    }
}
