package org.lavenderwick.cli;

import com.beust.jcommander.ParametersDelegate;
import org.lavenderwick.daemon.fleet.FleetReport;

/** Shows the groups, endpoints and daemons of a fleet of session daemons. */
final class FleetStatusCommand implements Command {

    @ParametersDelegate
    private final StoreOption store = new StoreOption();

    @Override
    public String name() {
        return "fleet status";
    }

    @Override
    public String description() {
        return "Show the groups, endpoints and daemons of a fleet of session daemons.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return store.print(terminal, FleetReport::state);
    }
}
