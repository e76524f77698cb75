package org.lavenderwick.daemon;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.lavenderwick.adapters.settings.LogFormat;
import org.slf4j.LoggerFactory;

/** Chooses the form of the log. */
final class LogSetup {
    private LogSetup() {}

    static void use(LogFormat format) {
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
