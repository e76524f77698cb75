package org.lavenderwick.daemon.session;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.primitives.Longs;
import org.lavenderwick.core.catalog.RouteOrigin;
import org.lavenderwick.core.model.GroupName;

/**
 * The line with which a daemon opens a relayed session at an owner, before it forwards the caller's further lines: the
 * caller's first line, followed by the configuration by which the session is relayed. A daemon of an earlier version
 * takes the addition for a part of the caller's name, which has no meaning.
 */
final class RelayProtocol {

    /** The response of an owner whose configuration is too old for the session. Nothing has run. */
    static final String OUTDATED = "OUTDATED";

    private static final Pattern OPENING = Pattern.compile("(.*) RELAY (\\d+) (\\S+)");

    /** The first line of a relayed session, as the caller sent it, and the configuration by which it is relayed. */
    record Opening(String firstLine, Optional<RouteOrigin> origin) {}

    private RelayProtocol() {}

    /** Returns the line that opens a relayed session. */
    static String format(String firstLine, RouteOrigin origin) {
        return firstLine + " RELAY " + origin.version() + " " + origin.group().value();
    }

    /** Returns what a line opens; without an origin if it comes from a daemon of an earlier version. */
    static Opening parse(String line) {
        Matcher matcher = OPENING.matcher(line);
        if (!matcher.matches()) {
            return new Opening(line, Optional.empty());
        }
        Optional<Long> version = Optional.ofNullable(Longs.tryParse(matcher.group(2)));
        return version.map(number -> new Opening(
                        matcher.group(1), Optional.of(new RouteOrigin(number, GroupName.of(matcher.group(3))))))
                .orElse(new Opening(line, Optional.empty()));
    }
}
