package org.lavenderwick.cli;

import com.beust.jcommander.ParametersDelegate;
import org.lavenderwick.daemon.fleet.FleetReport;

/** Shows which primaries were replaced, when, by whom and why. */
final class FleetAuditCommand implements Command {

    @ParametersDelegate
    private final StoreOption store = new StoreOption();

    @Override
    public String name() {
        return "fleet audit";
    }

    @Override
    public String description() {
        return "Show which primaries were replaced, when, by whom and why.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return store.print(terminal, FleetReport::replacements);
    }
}
