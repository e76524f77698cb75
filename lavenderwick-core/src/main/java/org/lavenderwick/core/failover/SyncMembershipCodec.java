package org.lavenderwick.core.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.base.Splitter;
import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * Text format of a {@link SyncMembership} in the store: a line with the era, the term, the primary and the required
 * number of replicas, and a line for each replica with its name and start time.
 */
public final class SyncMembershipCodec {

    /** Prefix of the store keys of the memberships. */
    public static final String PREFIX = "sync/";

    private static final int HEAD_FIELDS = 4;
    private static final int REPLICA_FIELDS = 2;

    private SyncMembershipCodec() {}

    /** Returns the store key of the membership of a group. */
    public static String key(GroupName group) {
        return PREFIX + group.value();
    }

    /** Returns the text form. */
    public static String encode(SyncMembership membership) {
        StringBuilder text = new StringBuilder()
                .append(membership.era())
                .append(' ')
                .append(membership.term())
                .append(' ')
                .append(membership.primary())
                .append(' ')
                .append(membership.required());
        membership
                .replicas()
                .forEach(replica ->
                        text.append('\n').append(replica.name()).append(' ').append(replica.startedAt()));
        return text.toString();
    }

    /** Parses the text form. Fails with {@code MALFORMED_REQUEST} if the text is invalid. */
    public static Either<Failure, SyncMembership> decode(String text) {
        try {
            List<String> lines = Splitter.on('\n').splitToList(text);
            List<String> head = Splitter.on(' ').splitToList(lines.get(0));
            if (head.size() != HEAD_FIELDS) {
                return malformed();
            }
            Set<EndpointIncarnation> replicas = new HashSet<>();
            for (String line : lines.subList(1, lines.size())) {
                List<String> fields = Splitter.on(' ').splitToList(line);
                if (fields.size() != REPLICA_FIELDS) {
                    return malformed();
                }
                replicas.add(new EndpointIncarnation(EndpointName.of(fields.get(0)), Long.parseLong(fields.get(1))));
            }
            return Either.right(new SyncMembership(
                    Long.parseLong(head.get(0)),
                    Long.parseLong(head.get(1)),
                    EndpointName.of(head.get(2)),
                    Math.max(1, Integer.parseInt(head.get(3))),
                    replicas));
        } catch (IllegalArgumentException e) {
            return malformed();
        }
    }

    private static <T> Either<Failure, T> malformed() {
        return Either.left(
                Failure.of(ErrorKind.MALFORMED_REQUEST, "The membership of synchronous replication cannot be read."));
    }
}
