package org.lavenderwick.daemon;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Log output to standard error through {@code java.util.logging}, which starts many times faster than a logging
 * framework that reads a configuration file.
 */
final class ConsoleLog {

    private static final String PROVIDER_PROPERTY = "org.jboss.logging.provider";

    private ConsoleLog() {}

    /** Sends all log entries to standard error. Must be called before the first logger is created. */
    static void install() {
        System.setProperty(PROVIDER_PROPERTY, "jdk");
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LineFormatter());
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(Level.INFO);
    }

    private static final class LineFormatter extends Formatter {

        @Override
        public String format(LogRecord entry) {
            String line = Instant.ofEpochMilli(entry.getMillis()) + " " + entry.getLevel() + " " + formatMessage(entry);
            Throwable cause = entry.getThrown();
            if (cause == null) {
                return line + System.lineSeparator();
            }
            java.io.StringWriter trace = new java.io.StringWriter();
            cause.printStackTrace(new java.io.PrintWriter(trace));
            return line + System.lineSeparator() + trace;
        }
    }
}
