package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ListMultimap;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.RateLimitBounds;

/**
 * The grantor of the parts that a daemon holds. Confined to one thread.
 *
 * <p>A response must be discarded unless {@link #mayGrant} still holds after a check of the clocks that follows the
 * request: the host may have been suspended just before it was handled.
 */
public final class Grantor {

    private static final Duration NEVER = Duration.ofSeconds(-1);

    private final RateLimitBounds bounds;
    private final Map<PartId, Run> runs = new HashMap<>();
    private ListMultimap<PartId, Tenure> tenures = ImmutableListMultimap.of();
    private AccountDirectory accounts = AccountDirectory.EMPTY;
    private long version;
    private Duration discardedUntil = NEVER;
    private final Map<AccountName, Long> granted = new HashMap<>();

    /** What is granted in one tenure. */
    private static final class Run {
        private final Tenure tenure;
        private final Map<AccountName, LimitPart> parts = new HashMap<>();

        private Run(Tenure tenure) {
            this.tenure = tenure;
        }
    }

    /** Creates a grantor that holds no part. */
    public Grantor(RateLimitBounds bounds) {
        this.bounds = bounds;
    }

    /** Replaces the tenures of this daemon. */
    public void applyTenures(ListMultimap<PartId, Tenure> newTenures, Duration now) {
        tenures = ImmutableListMultimap.copyOf(newTenures);
        PartId.ALL.forEach(part -> run(part, now));
    }

    /** Ends all tenures that were confirmed until the given time, because the host was suspended. */
    public void discard(Duration until) {
        discardedUntil = until;
        runs.clear();
    }

    /** Applies the accounts of a configuration. */
    public void applyAccounts(AccountDirectory newAccounts, long newVersion, Duration now) {
        accounts = newAccounts;
        version = newVersion;
        runs.forEach((part, run) -> updateParts(part, run, now));
        granted.keySet().removeIf(name -> accounts.account(name).isEmpty());
    }

    private void updateParts(PartId part, Run run, Duration now) {
        run.parts.keySet().removeIf(name -> limited(name).isEmpty());
        for (ClientAccount account : accounts.accounts()) {
            if (PartId.shardOf(account.name()) != part.shard()
                    || account.limit().isEmpty()) {
                continue;
            }
            PartSizes sizes = PartSizes.of(account.limit().get(), bounds);
            LimitPart existing = run.parts.get(account.name());
            if (existing == null) {
                run.parts.put(account.name(), new LimitPart(sizes, now, now.plus(PartSizes.LIFETIME)));
            } else {
                existing.resize(sizes, now);
            }
        }
    }

    private Optional<ClientAccount> limited(AccountName name) {
        return accounts.account(name).filter(account -> account.limit().isPresent());
    }

    /** Returns whether this daemon may grant for a part. */
    public boolean mayGrant(PartId part, Duration now) {
        return run(part, now).isPresent();
    }

    private Optional<Run> run(PartId part, Duration now) {
        Optional<Tenure> current = tenures.get(part).stream()
                .filter(tenure -> tenure.covers(now, discardedUntil))
                .findFirst();
        if (current.isEmpty()) {
            runs.remove(part);
            return Optional.empty();
        }
        Run run = runs.get(part);
        if (run == null || run.tenure.acquisition() != current.get().acquisition()) {
            run = new Run(current.get());
            runs.put(part, run);
            updateParts(part, run, now);
        }
        return Optional.of(run);
    }

    /** Handles a request of an asker, whose requests must arrive in the order in which they were sent. */
    public PermitMessage.Response handle(Object asker, PermitMessage.Request request, Duration now) {
        Optional<Run> run = run(request.part(), now);
        if (run.isEmpty()) {
            return refusal(request, PermitMessage.Status.NOT_GRANTOR);
        }
        if (request.version() > version) {
            return refusal(request, PermitMessage.Status.OUTDATED);
        }
        List<PermitMessage.Granted> grants = new ArrayList<>();
        for (PermitMessage.Ask ask : request.asks()) {
            LimitPart part = run.get().parts.get(ask.account());
            if (part == null) {
                grants.add(new PermitMessage.Granted(ask.account(), 0, PartSizes.LIFETIME));
                continue;
            }
            LimitPart.Grant grant = part.request(asker, ask.held(), ask.returned(), ask.waiting(), ask.ahead(), now);
            granted.merge(ask.account(), grant.granted(), Long::sum);
            grants.add(new PermitMessage.Granted(ask.account(), grant.total(), grant.roomAfter()));
        }
        return new PermitMessage.Response(request.number(), PermitMessage.Status.GRANTED, PartSizes.LIFETIME, grants);
    }

    /** Returns the response to a request that is not served. */
    public static PermitMessage.Response refusal(PermitMessage.Request request, PermitMessage.Status status) {
        return new PermitMessage.Response(request.number(), status, Duration.ZERO, List.of());
    }

    /** Returns the number of permits granted to each account since the start. */
    public Map<AccountName, Long> granted() {
        return Map.copyOf(granted);
    }

    /** Returns the parts that are granted for now. */
    public Collection<PartId> parts() {
        return List.copyOf(runs.keySet());
    }
}
