package org.lavenderwick.cli;

/**
 * One command of the tool. Its options are fields with JCommander's {@code @Parameter}; they are set before
 * {@link #run}. An instance runs once.
 */
public interface Command {

    /** Returns the words that select the command, as in {@code sheet check}. */
    String name();

    /** Returns one sentence for the help text. */
    String description();

    /** Runs the command. Every failure is written to the terminal; exceptions are faults of the tool. */
    ExitCode run(Terminal terminal);
}
