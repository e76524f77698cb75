package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.failover.FailoverHistory;
import org.lavenderwick.core.failover.FailoverRun;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.TermRecord;
import org.lavenderwick.core.failover.TermRecordStore;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.store.StoreEntry;

/** What the store says of a fleet, for operators. */
public final class FleetReport {

    private final Directory directory = new Directory();
    private final TermRecord terms;

    private FleetReport(StoreChanges everything) {
        directory.replace(everything, Duration.ZERO);
        terms = directory
                .entry(TermRecord.KEY)
                .flatMap(entry -> TermRecordStore.decode(entry).toJavaOptional())
                .map(TermRecordStore.Versioned::record)
                .orElse(TermRecord.EMPTY);
    }

    /** Returns a report of everything that the store holds. */
    public static FleetReport of(StoreChanges everything) {
        return new FleetReport(everything);
    }

    /** Returns the state of the fleet, in lines. */
    public List<String> state() {
        List<String> lines = new ArrayList<>();
        lines.add(directory
                .catalog()
                .map(catalog -> "configuration " + catalog.version() + " with "
                        + catalog.databases().size() + " databases")
                .orElse("no configuration"));
        for (GroupName group : groups()) {
            lines.add("group " + group + ": "
                    + terms.group(group).map(FleetReport::describe).orElse("no primary recorded") + underway(group));
            directory.members(group).values().stream()
                    .sorted(Comparator.comparing(EndpointEntry::name))
                    .forEach(endpoint -> lines.add("  " + describe(endpoint)));
        }
        lines.add("daemons:");
        new TreeMap<>(Hosts.decode(directory.entriesUnder(Hosts.PREFIX)))
                .forEach((name, peer) -> lines.add("  " + name + "  " + peer.failureDomain() + "  "
                        + Addresses.join(
                                peer.address().getAddress().getHostAddress(),
                                peer.address().getPort())));
        return lines;
    }

    private List<GroupName> groups() {
        return directory
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

    private String underway(GroupName group) {
        int votes = directory.entriesUnder(Suspicions.prefix(group)).size();
        String duty = directory
                .entry(FailoverRun.lockKey(group))
                .map(entry -> ", failover of " + entry.value() + " under way")
                .orElse("");
        return duty + (votes > 0 ? ", " + votes + " daemons do not reach the primary" : "");
    }

    private static String describe(EndpointEntry endpoint) {
        return endpoint.name() + "  " + endpoint.role().name().toLowerCase(Locale.ROOT) + "  "
                + (endpoint.draining() ? "leaving" : "ready") + "  " + endpoint.failureDomain() + "  "
                + Addresses.join(
                        endpoint.address().getAddress().getHostAddress(),
                        endpoint.address().getPort());
    }

    /** Returns the replacements of primaries, in lines, by group and the oldest first. */
    public List<String> replacements() {
        List<String> lines = new ArrayList<>();
        for (Map.Entry<String, StoreEntry> entry :
                directory.entriesUnder(FailoverHistory.PREFIX).entrySet()) {
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
