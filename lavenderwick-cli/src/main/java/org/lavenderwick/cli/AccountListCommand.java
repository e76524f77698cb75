package org.lavenderwick.cli;

import com.beust.jcommander.ParametersDelegate;
import org.lavenderwick.daemon.fleet.AccountReport;

/** Shows the client accounts of the active configuration. */
final class AccountListCommand implements Command {

    @ParametersDelegate
    private final StoreOption store = new StoreOption();

    @Override
    public String name() {
        return "account list";
    }

    @Override
    public String description() {
        return "Show the client accounts of the active configuration with their limits.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return store.read(terminal, content -> {
            AccountReport.of(content).list().forEach(terminal::print);
            return ExitCode.DONE;
        });
    }
}
