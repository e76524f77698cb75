package org.lavenderwick.cli;

/** Exit code of the tool. */
public enum ExitCode {
    /** The command did what it was asked for. */
    DONE(0),
    /** The command failed. */
    FAILED(1),
    /** The command line is wrong; nothing was done. */
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the number that the process ends with. */
    public int number() {
        return number;
    }
}
