package org.lavenderwick.cli;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;

/** Orders a planned change of primary. */
final class PromoteCommand implements Command {

    @ParametersDelegate
    private final OperatorClient daemon = new OperatorClient();

    @Parameter(
            names = {"--group"},
            description = "Name of the database group.",
            required = true)
    private String group;

    @Parameter(
            names = {"--target"},
            description = "Name of the endpoint that becomes the primary; by default the one with the longest log.")
    private String target;

    @Override
    public String name() {
        return "promote";
    }

    @Override
    public String description() {
        return "Order a planned change of the primary of a database group.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        Map<String, String> order = new LinkedHashMap<>();
        order.put("group", group);
        if (target != null) {
            order.put("endpoint", target);
        }
        return daemon.post("/promote", order)
                .fold(
                        reason -> terminal.fail(
                                reason, "Check the names with lavenderwick status, or ask an owner of the group."),
                        answer -> {
                            terminal.print(answer.path("detail").asText("The change of primary was ordered."));
                            return ExitCode.DONE;
                        });
    }
}
