package org.lavenderwick.daemon.fleet;

import java.util.List;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.KeyChange;
import org.lavenderwick.core.catalog.Catalog;

/** Logs the keys of client accounts that a new configuration adds or withdraws, by fingerprint. */
final class AccountLog {

    /** Maximum number of keys that are logged one by one for a version; the others are counted. */
    static final int MAX_LINES = 20;

    private static final Logger LOG = Logger.getLogger(AccountLog.class);

    private AccountLog() {}

    /**
     * Logs the changes of a configuration. The first one of a daemon changes nothing, so only its accounts are counted.
     *
     * @param before the accounts of the configuration before; empty if there was none
     */
    static void logChanges(Optional<AccountDirectory> before, Catalog catalog) {
        if (before.isEmpty()) {
            if (!catalog.accounts().isEmpty()) {
                LOG.infof(
                        "[fleet] Configuration %d has %d accounts.",
                        catalog.version(), catalog.accounts().accounts().size());
            }
            return;
        }
        List<KeyChange> changes = KeyChange.between(before.get(), catalog.accounts());
        changes.stream()
                .limit(MAX_LINES)
                .forEach(change -> LOG.infof(
                        "[fleet] Configuration %d %s the key %s of account %s.",
                        catalog.version(), change.added() ? "adds" : "withdraws", change.key(), change.account()));
        if (changes.size() > MAX_LINES) {
            LOG.infof(
                    "[fleet] Configuration %d changes %d more keys, which are not listed.",
                    catalog.version(), changes.size() - MAX_LINES);
        }
    }
}
