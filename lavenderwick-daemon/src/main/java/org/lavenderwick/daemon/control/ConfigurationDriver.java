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

/** Installer of configurations received from the platform or from peers. Confined to the control thread. */
final class ConfigurationDriver {
    static final String CONFIGURATION_KEY = "configuration/current";
    private static final Logger LOG = Logger.getLogger(ConfigurationDriver.class);

    private final ConfigurationHolder holder;
    private final ConfigurationHistory history = ConfigurationHistory.create();
    private final WireDocuments documents;
    private final Consumer<Configuration> onInstalled;

    ConfigurationDriver(ConfigurationHolder holder, WireDocuments documents, Consumer<Configuration> onInstalled) {
        this.holder = holder;
        this.documents = documents;
        this.onInstalled = onInstalled;
    }

    /** Installs the configuration in a value of {@link #CONFIGURATION_KEY} if it is newer than the current one. */
    void onPlatformValue(VersionedValue value) {
        documents.configuration(value.value().getBytes(StandardCharsets.UTF_8)).ifPresent(this::install);
    }

    /** Installs the configuration, or applies the configuration changes, in a message of a peer. */
    void onPeerNews(WireNews news) {
        if (news.isSetConfiguration()) {
            documents.configuration(news.getConfiguration()).ifPresent(this::install);
        }
        if (news.isSetConfigurationChanges()) {
            documents.changes(news.getConfigurationChanges()).ifPresent(this::apply);
        }
    }

    /**
     * Adds to a message what a peer needs to reach the current configuration: the changes since its version, or the
     * whole configuration if the history does not reach back that far.
     *
     * @param news the message to add to
     * @param since version that the peer has; empty if it needs no configuration
     */
    void addMissing(WireNews news, OptionalLong since) {
        if (since.isEmpty() || holder.current().isEmpty()) {
            return;
        }
        Optional<ConfigurationChanges> changes = history.changesSince(since.getAsLong());
        if (changes.isPresent()) {
            news.setConfigurationChanges(documents.toJson(changes.get()));
        } else {
            news.setConfiguration(documents.toJson(holder.current().get()));
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
            LOG.infof("[configuration] Installed configuration version %d.", configuration.version());
            onInstalled.accept(configuration);
        }
    }
}
