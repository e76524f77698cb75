package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.failover.FailoverHistory;
import org.lavenderwick.core.failover.FailoverRun;
import org.lavenderwick.core.failover.FailoverWait;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.failover.TermRecordStore;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;

/** A report for operators on the state of the fleet and its past failovers, according to the store. */
public final class FleetReport {

    private final StoreCache storeCache = new StoreCache();
    private final TermRecord terms;

    private FleetReport(StoreChanges content) {
        storeCache.replaceAll(content, Duration.ZERO);
        terms = storeCache
                .entry(TermRecord.KEY)
                .flatMap(entry -> TermRecordStore.decode(entry).toJavaOptional())
                .map(TermRecordStore.Versioned::record)
                .orElse(TermRecord.EMPTY);
    }

    /** Creates a report from the complete content of the store. */
    public static FleetReport of(StoreChanges content) {
        return new FleetReport(content);
    }

    /** Returns the lines that describe the configuration, the groups with their endpoints, and the daemons. */
    public List<String> state() {
        List<String> lines = new ArrayList<>();
        lines.add(storeCache
                .catalog()
                .map(catalog -> "configuration " + catalog.version() + " with "
                        + catalog.databases().size() + " databases")
                .orElse("no configuration"));
        for (GroupName group : groups()) {
            lines.add("group " + group + ": "
                    + terms.group(group).map(FleetReport::describe).orElse("no primary recorded")
                    + describeFailover(group));
            describeWait(group).ifPresent(lines::add);
            storeCache.members(group).values().stream()
                    .sorted(Comparator.comparing(EndpointEntry::name))
                    .forEach(endpoint -> lines.add("  " + describe(endpoint)
                            + (terms.membership(group).joining().containsKey(endpoint.name()) ? "  joining" : "")));
        }
        lines.add("daemons:");
        new TreeMap<>(LiveDaemons.decode(storeCache.entriesWithPrefix(LiveDaemons.PREFIX)))
                .forEach((name, peer) -> lines.add("  " + name + "  " + peer.failureDomain() + "  "
                        + Addresses.join(
                                peer.address().getAddress().getHostAddress(),
                                peer.address().getPort())));
        return lines;
    }

    private List<GroupName> groups() {
        return storeCache
                .catalog()
                .map(catalog -> catalog.maxConnections().keySet().stream()
                        .sorted(Comparator.comparing(GroupName::value))
                        .toList())
                .orElse(List.of());
    }

    private static String describe(GroupTerm term) {
        return "primary " + term.primary() + ", term " + term.term() + ", "
                + term.phase().name().toLowerCase(Locale.ROOT);
    }

    private String describeFailover(GroupName group) {
        int votes =
                storeCache.entriesWithPrefix(UnreachabilityVotes.prefix(group)).size();
        String failover = storeCache
                .entry(FailoverRun.lockKey(group))
                .map(entry -> ", failover of " + entry.value() + " under way")
                .orElse("");
        return failover + (votes > 0 ? ", " + votes + " daemons do not reach the primary" : "");
    }

    /** Returns the line that says for which endpoints the failover of a group waits, and which daemon runs it. */
    private Optional<String> describeWait(GroupName group) {
        return storeCache
                .entry(FailoverWait.key(group))
                .filter(entry -> !entry.value().isEmpty())
                .map(entry -> "  failover by " + entry.value());
    }

    private static String describe(EndpointEntry endpoint) {
        return endpoint.name() + "  " + endpoint.role().name().toLowerCase(Locale.ROOT) + "  "
                + (endpoint.draining() ? "leaving" : "ready") + "  " + endpoint.failureDomain() + "  "
                + Addresses.join(
                        endpoint.address().getAddress().getHostAddress(),
                        endpoint.address().getPort());
    }

    /** Returns one line for each recorded replacement of a primary, sorted by group, the oldest first. */
    public List<String> replacements() {
        List<String> lines = new ArrayList<>();
        for (Map.Entry<String, StoreEntry> entry :
                storeCache.entriesWithPrefix(FailoverHistory.PREFIX).entrySet()) {
            String group = entry.getKey().substring(FailoverHistory.PREFIX.length());
            FailoverHistory.decode(entry.getValue().value())
                    .replacements()
                    .forEach(replacement -> lines.add("%s  %s  %s  %s -> %s  %s"
                            .formatted(
                                    replacement.at(),
                                    replacement.by(),
                                    group,
                                    replacement.from(),
                                    replacement.to(),
                                    replacement.reason())));
        }
        return lines;
    }
}
