package org.lavenderwick.core.failover;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;

/**
 * Text format of the term record: one line with the ID of the lease followed by the IDs of the leases to revoke, then
 * one line with the era, and one line for each group with its name, primary, term, phase and fencing token. The line
 * with the era is missing in the first one: daemons of earlier versions cannot read it.
 *
 * <p>The membership of a group is on a line of its own, which names the group with a suffix, the members in place of
 * the primary, each joining one with its number, and a term that is never open. Daemons of earlier versions take it
 * for a group that no configuration contains, and keep it when they change the record. The highest requested term of a
 * group whose term is not open is on such a line, too, in place of the term. It is ignored once the term is open.
 */
public final class TermRecordCodec {

    private static final String LEASE = "lease";
    private static final String ERA_PREFIX = "era ";
    private static final int GROUP_FIELDS = 5;
    private static final String MEMBERS_SUFFIX = "#members";
    private static final String REQUESTED_SUFFIX = "#requested";
    private static final char MEMBER_SEPARATOR = ',';
    private static final char JOINING_SEPARATOR = '@';

    private TermRecordCodec() {}

    /** Returns the text form of a record. */
    public static String encode(TermRecord record) {
        StringBuilder text = new StringBuilder(LEASE).append(' ').append(record.lease());
        record.leasesToRevoke().forEach(lease -> text.append(' ').append(lease));
        if (record.era() != EraRevision.FIRST_ERA) {
            text.append('\n').append(ERA_PREFIX).append(record.era());
        }
        record.groups().forEach((name, term) -> {
            text.append('\n')
                    .append(Joiner.on(' ').join(name, term.primary(), term.term(), term.phase(), term.fencingToken()));
            if (term.phase() != TermPhase.OPEN && term.highestRequestedTerm() > term.term()) {
                text.append('\n')
                        .append(Joiner.on(' ')
                                .join(
                                        name + REQUESTED_SUFFIX,
                                        term.primary(),
                                        term.highestRequestedTerm(),
                                        TermPhase.CLOSING,
                                        0));
            }
        });
        record.memberships().forEach((name, membership) -> {
            if (!membership.isEmpty()) {
                text.append('\n')
                        .append(Joiner.on(' ')
                                .join(name + MEMBERS_SUFFIX, encode(membership), 0, TermPhase.CLOSING, 0));
            }
        });
        return text.toString();
    }

    private static String encode(GroupMembership membership) {
        Stream<String> established = membership.established().stream().sorted().map(TermRecordCodec::escape);
        Stream<String> joining = membership.joining().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(member -> escape(member.getKey()) + JOINING_SEPARATOR + member.getValue());
        return Stream.concat(established, joining).collect(Collectors.joining(String.valueOf(MEMBER_SEPARATOR)));
    }

    private static String escape(EndpointName name) {
        return URLEncoder.encode(name.value(), StandardCharsets.UTF_8);
    }

    private static GroupMembership decodeMembership(String text) {
        Set<EndpointName> established = new HashSet<>();
        Map<EndpointName, Long> joining = new HashMap<>();
        for (String member : Splitter.on(MEMBER_SEPARATOR).split(text)) {
            List<String> parts = Splitter.on(JOINING_SEPARATOR).limit(2).splitToList(member);
            EndpointName name = EndpointName.of(URLDecoder.decode(parts.get(0), StandardCharsets.UTF_8));
            if (parts.size() > 1) {
                joining.put(name, Long.parseLong(parts.get(1)));
            } else {
                established.add(name);
            }
        }
        return new GroupMembership(established, joining);
    }

    private static GroupName groupBefore(String suffix, String field) {
        return GroupName.of(field.substring(0, field.length() - suffix.length()));
    }

    /** Parses the text form of a record. Fails with {@code MALFORMED_REQUEST} if the text is invalid. */
    public static Either<Failure, TermRecord> decode(String text) {
        try {
            List<String> lines = Splitter.on('\n').splitToList(text);
            List<String> head = Splitter.on(' ').splitToList(lines.get(0));
            if (head.size() < 2 || !head.get(0).equals(LEASE)) {
                return malformed();
            }
            Map<GroupName, GroupTerm> groups = new HashMap<>();
            Map<GroupName, GroupMembership> memberships = new HashMap<>();
            Map<GroupName, Long> requestedTerms = new HashMap<>();
            long era = EraRevision.FIRST_ERA;
            for (String line : lines.subList(1, lines.size())) {
                if (line.startsWith(ERA_PREFIX)) {
                    era = Long.parseLong(line.substring(ERA_PREFIX.length()));
                    continue;
                }
                List<String> fields = Splitter.on(' ').splitToList(line);
                if (fields.size() != GROUP_FIELDS) {
                    return malformed();
                }
                if (fields.get(0).endsWith(MEMBERS_SUFFIX)) {
                    memberships.put(groupBefore(MEMBERS_SUFFIX, fields.get(0)), decodeMembership(fields.get(1)));
                    continue;
                }
                if (fields.get(0).endsWith(REQUESTED_SUFFIX)) {
                    requestedTerms.put(groupBefore(REQUESTED_SUFFIX, fields.get(0)), Long.parseLong(fields.get(2)));
                    continue;
                }
                GroupTerm term = new GroupTerm(
                        EndpointName.of(fields.get(1)),
                        Long.parseLong(fields.get(2)),
                        TermPhase.valueOf(fields.get(3)),
                        Long.parseLong(fields.get(4)));
                groups.put(GroupName.of(fields.get(0)), term);
            }
            groups.replaceAll((name, term) -> term.phase() == TermPhase.OPEN
                    ? term
                    : term.withRequestedTerm(requestedTerms.getOrDefault(name, term.term())));
            Set<Long> toRevoke = new HashSet<>();
            head.subList(2, head.size()).forEach(lease -> toRevoke.add(Long.parseLong(lease)));
            return Either.right(new TermRecord(era, Long.parseLong(head.get(1)), toRevoke, groups, memberships));
        } catch (IllegalArgumentException e) {
            return malformed();
        }
    }

    private static <T> Either<Failure, T> malformed() {
        return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, "The record of terms cannot be read."));
    }
}
