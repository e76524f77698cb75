package org.lavenderwick.daemon.control;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.ConfigurationChanges;
import org.lavenderwick.core.configuration.ConfigurationHistory;
import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.protocol.WireNews;

/** Installs configurations from the platform and from peers. Confined to the control thread. */
final class ConfigurationDriver {
    static final String CONFIGURATION_KEY = "configuration/current";
    private static final Logger LOG = Logger.getLogger(ConfigurationDriver.class);

    private final ConfigurationHolder holder;
    private final ConfigurationHistory history = ConfigurationHistory.create();
    private final WireDocuments documents;
    private final Consumer<Configuration> installed;

    ConfigurationDriver(ConfigurationHolder holder, WireDocuments documents, Consumer<Configuration> installed) {
        this.holder = holder;
        this.documents = documents;
        this.installed = installed;
    }

    /** Takes the value of the platform's key. */
    void valueSeen(VersionedValue value) {
        documents.configuration(value.value().getBytes(StandardCharsets.UTF_8)).ifPresent(this::install);
    }

    /** Takes the documents of a peer. */
    void newsSeen(WireNews news) {
        if (news.isSetConfiguration()) {
            documents.configuration(news.getConfiguration()).ifPresent(this::install);
        }
        if (news.isSetConfigurationChanges()) {
            documents.changes(news.getConfigurationChanges()).ifPresent(this::apply);
        }
    }

    /** Adds what a peer with the given version lacks. */
    void addNews(WireNews news, OptionalLong since) {
        if (since.isEmpty() || holder.current().isEmpty()) {
            return;
        }
        Optional<ConfigurationChanges> changes = history.changesSince(since.getAsLong());
        if (changes.isPresent()) {
            news.setConfigurationChanges(documents.json(changes.get()));
        } else {
            news.setConfiguration(documents.json(holder.current().get()));
        }
    }

    private void apply(ConfigurationChanges changes) {
        holder.current()
                .filter(current -> current.version() == changes.fromVersion())
                .ifPresent(current -> install(changes.applyTo(current)));
    }

    private void install(Configuration configuration) {
        if (holder.install(configuration)) {
            history.add(configuration);
            LOG.infof("[configuration] Version %d is in force.", configuration.version());
            installed.accept(configuration);
        }
    }
}
