package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.store.StoreChanges;

/** A report for operators on the client accounts, according to the configuration in the store. Shows no keys. */
public final class AccountReport {

    private final Optional<Catalog> catalog;

    private AccountReport(Optional<Catalog> catalog) {
        this.catalog = catalog;
    }

    /** Creates a report from the complete content of the store. */
    public static AccountReport of(StoreChanges content) {
        StoreCache storeCache = new StoreCache();
        storeCache.replaceAll(content, Duration.ZERO);
        return new AccountReport(storeCache.catalog());
    }

    /** Returns one line for the configuration and one for each account, the highest rate limit first. */
    public List<String> list() {
        List<String> lines = new ArrayList<>();
        lines.add(catalog.map(known -> "configuration " + known.version() + " with "
                        + known.accounts().accounts().size() + " accounts")
                .orElse("no configuration"));
        catalog.stream()
                .flatMap(known -> known.accounts().accounts().stream())
                .sorted(Comparator.comparingDouble(AccountReport::rate)
                        .reversed()
                        .thenComparing(ClientAccount::name))
                .forEach(account -> lines.add(account.name() + "  priority " + account.priority() + "  "
                        + describe(account.limit()) + "  keys " + account.keys().size()));
        return lines;
    }

    /** Returns the lines that describe one account; empty if the configuration has no such account. */
    public Optional<List<String>> show(AccountName name) {
        return catalog.flatMap(known -> known.accounts().account(name)).map(account -> {
            List<String> lines = new ArrayList<>();
            lines.add("account " + account.name());
            lines.add("priority " + account.priority());
            lines.add("limit " + describe(account.limit()));
            account.keys().stream()
                    .map(KeyFingerprint::value)
                    .sorted()
                    .forEach(fingerprint -> lines.add("key with fingerprint " + fingerprint));
            return lines;
        });
    }

    private static double rate(ClientAccount account) {
        return account.limit().map(RateLimit::perSecond).orElse(Double.POSITIVE_INFINITY);
    }

    private static String describe(Optional<RateLimit> limit) {
        return limit.map(known -> String.format(
                        Locale.ROOT, "%.1f operations a second, burst %.1f", known.perSecond(), known.burst()))
                .orElse("no limit");
    }
}
