package org.lavenderwick.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.daemon.fleet.FleetReport;
import org.lavenderwick.platform.StoreClient;

/** The store that a fleet of session daemons shares, as commands read it. */
final class StoreOption {

    /** Longest wait for an answer; a command is in no hurry. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    @Parameter(
            names = {"--store"},
            description = "IP address and port of the store, as in the settings of a daemon.",
            required = true,
            validateWith = AddressOption.class)
    private String store;

    /** Reads the store and prints a part of the report. */
    ExitCode print(Terminal terminal, Function<FleetReport, List<String>> part) {
        return read(terminal, content -> {
            part.apply(FleetReport.of(content)).forEach(terminal::print);
            return ExitCode.DONE;
        });
    }

    /** Reads the store and passes its content to the reader, or reports that it cannot be read. */
    ExitCode read(Terminal terminal, Function<StoreChanges, ExitCode> reader) {
        InetSocketAddress address = Addresses.socketAddress(store);
        Either<Failure, StoreChanges> read =
                StoreClient.create(() -> address, TIMEOUT).load();
        return read.fold(
                failure ->
                        terminal.fail("The store cannot be read: " + failure.detail(), "Check --store and try again."),
                reader);
    }
}
