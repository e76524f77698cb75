package org.lavenderwick.daemon;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.lavenderwick.adapters.settings.LogFormat;
import org.slf4j.LoggerFactory;

/** Configuration of Logback for the log format in the settings. */
final class LogSetup {
    private LogSetup() {}

    /**
     * Replaces the current Logback configuration by the one for the given format.
     *
     * @throws IllegalStateException if the configuration cannot be loaded
     */
    static void configure(LogFormat format) {
        String name = format == LogFormat.JSON ? "lavenderwickd-json.xml" : "lavenderwickd-text.xml";
        URL file = LogSetup.class.getResource(name);
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        JoranConfigurator configurator = new JoranConfigurator();
        configurator.setContext(context);
        context.reset();
        try {
            configurator.doConfigure(file);
        } catch (JoranException e) {
            throw new IllegalStateException("the log configuration " + name + " cannot be used", e);
        }
    }
}
