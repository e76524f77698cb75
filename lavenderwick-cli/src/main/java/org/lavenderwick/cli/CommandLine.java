package org.lavenderwick.cli;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;

/** Selects a command by the first words of the command line, sets its options and runs it. */
public final class CommandLine {

    private static final String PROGRAM = "lavenderwick";
    private static final String SEE_HELP = "See lavenderwick --help.";

    private final List<Command> commands;

    private CommandLine(List<Command> commands) {
        this.commands = commands;
    }

    /** Returns a command line with the given commands. */
    public static CommandLine of(List<Command> commands) {
        return new CommandLine(ImmutableList.sortedCopyOf(Comparator.comparing(Command::name), commands));
    }

    /** Runs the command that the arguments select. */
    public ExitCode run(Terminal terminal, String... arguments) {
        List<String> words = Arrays.asList(arguments);
        if (words.isEmpty()) {
            return terminal.misuse("No command is given.", SEE_HELP);
        }
        if (words.get(0).equals("--help")) {
            help(terminal);
            return ExitCode.DONE;
        }
        if (words.get(0).equals("--version")) {
            terminal.print(PROGRAM + " " + version());
            return ExitCode.DONE;
        }
        Optional<Command> selected =
                commands.stream().filter(command -> selects(command, words)).findFirst();
        return selected.map(command -> run(command, terminal, words))
                .orElseGet(() -> terminal.misuse("There is no command \"" + unknown(words) + "\".", SEE_HELP));
    }

    private static ExitCode run(Command command, Terminal terminal, List<String> words) {
        List<String> options = words.subList(nameWords(command).size(), words.size());
        Help help = new Help();
        JCommander parser = JCommander.newBuilder()
                .programName(PROGRAM + " " + command.name())
                .addObject(command)
                .addObject(help)
                .build();
        // A file name that starts with @ is a file name, not a file of options.
        parser.setExpandAtSign(false);
        try {
            parser.parse(options.toArray(String[]::new));
        } catch (ParameterException e) {
            String reason = e.getMessage().endsWith(".") ? e.getMessage() : e.getMessage() + ".";
            return terminal.misuse(reason, "See lavenderwick " + command.name() + " --help.");
        }
        if (help.requested) {
            StringBuilder usage = new StringBuilder(command.description()).append('\n');
            parser.getUsageFormatter().usage(usage);
            terminal.print(usage.toString().stripTrailing());
            return ExitCode.DONE;
        }
        return command.run(terminal);
    }

    private void help(Terminal terminal) {
        terminal.print("Usage: lavenderwick COMMAND [OPTIONS]");
        terminal.print("");
        int width = commands.stream()
                .mapToInt(command -> command.name().length())
                .max()
                .orElse(1);
        for (Command command : commands) {
            terminal.print(("  %-" + width + "s  %s").formatted(command.name(), command.description()));
        }
        terminal.print("");
        terminal.print("lavenderwick COMMAND --help shows the options of a command.");
        terminal.print("Exit codes: 0 done, 1 failed, 2 wrong command line.");
    }

    private String unknown(List<String> words) {
        boolean firstIsKnown =
                commands.stream().anyMatch(command -> nameWords(command).get(0).equals(words.get(0)));
        return firstIsKnown && words.size() > 1 ? words.get(0) + " " + words.get(1) : words.get(0);
    }

    private static boolean selects(Command command, List<String> words) {
        List<String> name = nameWords(command);
        return words.size() >= name.size() && words.subList(0, name.size()).equals(name);
    }

    private static List<String> nameWords(Command command) {
        return List.of(command.name().split(" "));
    }

    private static String version() {
        return Optional.ofNullable(CommandLine.class.getPackage().getImplementationVersion())
                .orElse("development");
    }

    private static final class Help {
        @Parameter(
                names = {"--help"},
                description = "Show this text.",
                help = true)
        private boolean requested;
    }
}
