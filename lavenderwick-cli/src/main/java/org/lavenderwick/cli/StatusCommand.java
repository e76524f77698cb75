package org.lavenderwick.cli;

import com.beust.jcommander.ParametersDelegate;

/** Shows the state of a daemon. */
final class StatusCommand implements Command {

    @ParametersDelegate
    private final OperatorClient daemon = new OperatorClient();

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String description() {
        return "Show the state of a daemon as JSON.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return daemon.get("/status")
                .fold(reason -> terminal.fail(reason, "Check --operator-address and that the daemon runs."), answer -> {
                    terminal.print(daemon.pretty(answer));
                    return ExitCode.DONE;
                });
    }
}
