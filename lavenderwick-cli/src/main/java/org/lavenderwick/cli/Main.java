package org.lavenderwick.cli;

import java.util.List;

import org.lavenderwick.cli.bench.BenchCommand;
import org.lavenderwick.cli.bench.DemoCommand;

/** The program {@code lavenderwick}. */
public final class Main {

    private Main() {}

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty("logback.configurationFile", "org/lavenderwick/cli/log.xml");
        ExitCode code = CommandLine.of(commands()).run(Terminal.of(System.out, System.err), arguments);
        System.out.flush();
        System.exit(code.number());
    }

    /** Returns all commands. */
    static List<Command> commands() {
        return List.of(
                new SheetCheckCommand(),
                new SheetImportCommand(),
                new SheetApplyCommand(),
                new StatusCommand(),
                new DrainCommand(),
                new PromoteCommand(),
                new AuditCommand(),
                new AccountListCommand(),
                new AccountShowCommand(),
                new ConfigurationCheckCommand(),
                new FleetStatusCommand(),
                new FleetAuditCommand(),
                new ExplainCommand(System.in),
                new StandinsCommand(),
                new DemoCommand(),
                new BenchCommand());
    }
}
