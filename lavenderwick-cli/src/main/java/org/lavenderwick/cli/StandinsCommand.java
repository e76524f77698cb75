package org.lavenderwick.cli;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.google.common.net.HostAndPort;
import org.lavenderwick.adapters.sheet.Sheet;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.standins.StandinFleet;

/** Runs the stand-ins of platform and endpoints in a process of their own until it is ended. */
final class StandinsCommand implements Command {
    /** The stand-ins hand no configuration out, so that this key seals nothing. */
    private static final SessionKey UNUSED_KEY =
            new SessionKey("unused", Base64.getEncoder().encodeToString("unused".getBytes(StandardCharsets.US_ASCII)));

    @Parameter(names = "--sheet", description = "Planners' sheet with the endpoints.", required = true)
    private String file;

    @Parameter(names = "--platform", description = "IP address and port of the platform.")
    private String platform = "127.0.9.1:7000";

    @Override
    public String name() {
        return "standins";
    }

    @Override
    public String description() {
        return "Run stand-ins of the platform and of the endpoints of a sheet until the process is ended.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return SheetFile.read(file, terminal).fold(code -> code, sheet -> serve(sheet, terminal));
    }

    private ExitCode serve(Sheet sheet, Terminal terminal) {
        HostAndPort address;
        try {
            address = HostAndPort.fromString(platform);
            address.getPort();
        } catch (IllegalArgumentException | IllegalStateException e) {
            return terminal.misuse("The option --platform is no IP address and port.", "Write it as 127.0.9.1:7000.");
        }
        Configuration configuration = sheet.toConfiguration(1, List.of(UNUSED_KEY));
        try (StandinFleet fleet = StandinFleet.start(
                configuration,
                StandinFleet.Options.standard()
                        .withPlatformHost(address.getHost())
                        .withPlatformPort(address.getPort()))) {
            terminal.print("platform " + fleet.platform().address());
            fleet.endpoints()
                    .forEach(endpoint -> terminal.print("endpoint " + endpoint.name() + " " + endpoint.address()));
            terminal.print("faults of endpoints " + fleet.controlAddress());
            terminal.print("faults of the platform " + fleet.platform().controlAddress());
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IllegalStateException e) {
            return terminal.fail(
                    "The stand-ins do not start (" + e.getMessage() + ").",
                    "Check that no other process uses the addresses of the sheet.");
        }
        return ExitCode.DONE;
    }
}
