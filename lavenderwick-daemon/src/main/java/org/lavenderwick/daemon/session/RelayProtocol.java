package org.lavenderwick.daemon.session;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.primitives.Longs;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.catalog.RouteOrigin;
import org.lavenderwick.core.model.GroupName;

/**
 * The line with which a daemon opens a relayed session at an owner, before it forwards the caller's further lines: the
 * caller's first line, followed by the configuration by which the session is relayed. A daemon of an earlier version
 * takes the addition for a part of the caller's name, which has no meaning.
 *
 * <p>Under a configuration with client accounts, the line of the caller is replaced by one without its key, and the
 * fingerprint of the key and the account follow.
 */
final class RelayProtocol {

    /** The response of an owner whose configuration is too old for the session. Nothing has run. */
    static final String OUTDATED = "OUTDATED";

    private static final Pattern OPENING =
            Pattern.compile("(.*) RELAY (\\d+) (\\S+)(?: KEY ([0-9a-f]{16})(?: (\\S+))?)?");

    /**
     * The key of a relayed session.
     *
     * @param fingerprint the fingerprint of the key
     * @param account the account by the configuration of the relaying daemon; empty if the database needs no key
     */
    record RelayedKey(KeyFingerprint fingerprint, Optional<AccountName> account) {}

    /**
     * What a line opens.
     *
     * @param firstLine the first line of the session; as the caller sent it, unless there is a key
     * @param origin the configuration by which the session is relayed; empty if the other daemon did not say
     * @param key the key of the session; empty if the configuration of the other daemon names no accounts
     */
    record Opening(String firstLine, Optional<RouteOrigin> origin, Optional<RelayedKey> key) {}

    private RelayProtocol() {}

    /** Returns the line that opens a relayed session. */
    static String format(String firstLine, RouteOrigin origin) {
        return firstLine + " RELAY " + origin.version() + " " + origin.group().value();
    }

    /** Returns the line that opens a relayed session under a configuration with accounts. */
    static String format(String firstLine, RouteOrigin origin, RelayedKey key) {
        String account = key.account().map(name -> " " + name).orElse("");
        return format(firstLine, origin) + " KEY " + key.fingerprint() + account;
    }

    /** Returns what a line opens; without an origin if it comes from a daemon of an earlier version. */
    static Opening parse(String line) {
        Matcher matcher = OPENING.matcher(line);
        Optional<Long> version =
                matcher.matches() ? Optional.ofNullable(Longs.tryParse(matcher.group(2))) : Optional.empty();
        return version.map(number -> new Opening(
                        matcher.group(1),
                        Optional.of(new RouteOrigin(number, GroupName.of(matcher.group(3)))),
                        Optional.ofNullable(matcher.group(4))
                                .map(text -> new RelayedKey(
                                        new KeyFingerprint(text),
                                        Optional.ofNullable(matcher.group(5)).map(AccountName::of)))))
                .orElse(new Opening(line, Optional.empty(), Optional.empty()));
    }
}
