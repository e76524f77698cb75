package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;

/**
 * The permits of a daemon that starts operations. It asks the grantor of its own failure domain first and the others if
 * that one has none. Permits for all accounts of a shard are asked for in one message, ahead of demand, so that the
 * number of messages depends on the number of grantors that a daemon asks and little on that of operations. Confined
 * to one thread.
 */
public final class PermitAsker {

    /** Time after which a request without a response goes to the next grantor. */
    public static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(100);

    /** Time for which a grantor that did not respond is not asked. */
    private static final Duration SILENT_PAUSE = Duration.ofMillis(500);

    /** Time for which a grantor that does not grant at present is not asked. */
    private static final Duration REFUSAL_PAUSE = Duration.ofMillis(200);

    /** Least time between two requests for which no operation waits. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(1400);

    /** Remaining lifetime below which permits are renewed. */
    private static final Duration RENEWAL_MARGIN = PartSizes.LIFETIME.dividedBy(2);

    /** Receives the decision on an operation, either during the call or later. */
    public interface Callback {
        /** The operation may run. */
        void onGranted(Permit permit);

        /** The operation must not run; there is room after the given time. */
        void onRejected(Duration retryAfter);
    }

    /** Sends requests to grantors. Responses are passed to {@link #onResponse} later, never during the call. */
    public interface Transport {
        /** Sends a request; returns false if it cannot be sent. */
        boolean send(PermitMessage.Request request);
    }

    private static final class Link {
        private final PartId part;
        private boolean known;
        private PermitMessage.Request pending;
        private Duration sentAt = Duration.ofSeconds(-10);
        private Duration avoidUntil = Duration.ZERO;

        private Link(PartId part) {
            this.part = part;
        }

        private boolean isUsable(Duration now) {
            return known && avoidUntil.compareTo(now) <= 0;
        }
    }

    private final Transport transport;
    private final RandomGenerator random;
    private final Map<AccountName, HeldPermits> accounts = new HashMap<>();
    private final List<Set<AccountName>> active = new ArrayList<>();
    private final List<Link> links = PartId.ALL.stream().map(Link::new).collect(ImmutableList.toImmutableList());
    private final int[][] order = new int[PartId.SHARDS][];
    private long version;
    private long requests;

    /** Creates an asker that knows of no limits and no grantors. */
    public PermitAsker(Transport transport, RandomGenerator random) {
        this.transport = transport;
        this.random = random;
        for (int shard = 0; shard < PartId.SHARDS; shard++) {
            active.add(new LinkedHashSet<>());
            order[shard] = orderFrom(0);
        }
    }

    private static int[] orderFrom(int first) {
        int[] parts = new int[PartId.PARTS];
        for (int index = 0; index < parts.length; index++) {
            parts[index] = (first + index) % PartId.PARTS;
        }
        return parts;
    }

    /** Applies the accounts of a configuration. */
    public void applyAccounts(AccountDirectory directory, long newVersion) {
        version = newVersion;
        Set<AccountName> ended = new HashSet<>(accounts.keySet());
        directory
                .accounts()
                .forEach(account -> account.limit().ifPresent(limit -> {
                    ended.remove(account.name());
                    accounts.computeIfAbsent(account.name(), name -> new HeldPermits(limit))
                            .applyLimit(limit);
                }));
        for (AccountName name : ended) {
            HeldPermits permits = accounts.remove(name);
            active.forEach(names -> names.remove(name));
            permits.waiters().forEach(waiter -> waiter.callback().onRejected(Duration.ZERO));
        }
    }

    /**
     * Sets which parts have a grantor.
     *
     * @param preferredParts the parts whose grantor is in the failure domain of this daemon
     */
    public void applyGrantors(Set<PartId> known, Set<PartId> preferredParts) {
        links.forEach(link -> link.known = known.contains(link.part));
        for (int shard = 0; shard < PartId.SHARDS; shard++) {
            int index = shard;
            order[shard] = orderFrom(preferredParts.stream()
                    .filter(part -> part.shard() == index)
                    .mapToInt(PartId::part)
                    .min()
                    .orElse(0));
        }
    }

    /** Drops what was obtained from the grantor of a part, because another one may grant or its connection is lost. */
    public void onGrantorLost(PartId part, Duration now) {
        active.get(part.shard()).forEach(name -> accounts.get(name).drop(part.part()));
        abandonRequest(links.get(part.index()), REFUSAL_PAUSE, now);
    }

    /** Drops all permits, because the host was suspended. What was asked for before does not count either. */
    public void discard(Duration now) {
        accounts.values().forEach(HeldPermits::drop);
        links.forEach(link -> abandonRequest(link, Duration.ZERO, now));
    }

    /** Returns whether the operations of an account are limited. */
    public boolean isLimited(AccountName account) {
        return accounts.containsKey(account);
    }

    /** Decides on an operation of a limited account. */
    public void acquire(AccountName account, Duration now, Callback callback) {
        HeldPermits permits = accounts.get(account);
        int shard = PartId.shardOf(account);
        active.get(shard).add(account);
        permits.recordDemand(now);
        for (int part : order[shard]) {
            if (permits.waiters().isEmpty() && permits.use(part, now)) {
                callback.onGranted(new Permit(account, part, permits.reports(part)));
                return;
            }
        }
        permits.waiters().add(new HeldPermits.Waiter(callback));
        if (permits.askedPart() == HeldPermits.NONE) {
            askNext(account, permits, now);
        }
    }

    /** Takes back a permit whose operation did not run. */
    public void giveBack(Permit permit, Duration now) {
        HeldPermits permits = accounts.get(permit.account());
        if (permits != null) {
            permits.giveBack(permit, now);
        }
    }

    /** Asks the next grantor that may have room for the operations that wait, or rejects them. */
    private void askNext(AccountName account, HeldPermits permits, Duration now) {
        int shard = PartId.shardOf(account);
        for (int part : order[shard]) {
            Link link = link(shard, part);
            if (!link.isUsable(now) || permits.noRoomUntil(part).compareTo(now) > 0) {
                continue;
            }
            permits.setAskedPart(part);
            if (link.pending != null || send(link, now)) {
                return;
            }
        }
        permits.setAskedPart(HeldPermits.NONE);
        rejectWaiting(permits, shard, now);
    }

    private Link link(int shard, int part) {
        return links.get(shard * PartId.PARTS + part);
    }

    private void rejectWaiting(HeldPermits permits, int shard, Duration now) {
        Duration room = PartSizes.LIFETIME;
        for (int part = 0; part < PartId.PARTS; part++) {
            Duration at = link(shard, part).avoidUntil;
            at = at.compareTo(permits.noRoomUntil(part)) > 0 ? at : permits.noRoomUntil(part);
            boolean sooner = link(shard, part).known && at.minus(now).compareTo(room) < 0;
            room = sooner ? at.minus(now) : room;
        }
        List<HeldPermits.Waiter> rejected = List.copyOf(permits.waiters());
        permits.waiters().clear();
        for (HeldPermits.Waiter waiter : rejected) {
            permits.countRejection();
            long spread = Math.max(1, room.toNanos());
            waiter.callback().onRejected(room.plusNanos(random.nextLong(spread)));
        }
    }

    /** Sends what a grantor needs to know of all accounts; returns false if it cannot be sent. */
    private boolean send(Link link, Duration now) {
        int part = link.part.part();
        List<PermitMessage.Ask> asks = new ArrayList<>();
        active.get(link.part.shard()).removeIf(name -> isIdle(accounts.get(name), now));
        for (AccountName name : active.get(link.part.shard())) {
            HeldPermits permits = accounts.get(name);
            PermitMessage.Ask ask = ask(name, permits, link.part, now);
            boolean empty = ask.held() + ask.returned() + ask.waiting() + ask.ahead() == 0;
            if (!empty) {
                asks.add(ask);
                permits.report(part, ask.returned());
            }
        }
        link.pending = new PermitMessage.Request(++requests, version, link.part, asks);
        link.sentAt = now;
        if (!transport.send(link.pending)) {
            link.pending = null;
            link.avoidUntil = now.plus(REFUSAL_PAUSE);
            return false;
        }
        return true;
    }

    private static boolean isIdle(HeldPermits permits, Duration now) {
        return permits.waiters().isEmpty() && permits.target(now) == 0 && permits.held(now) == 0;
    }

    private PermitMessage.Ask ask(AccountName name, HeldPermits permits, PartId id, Duration now) {
        int part = id.part();
        long held = permits.held(part, now);
        long waiting = permits.askedPart() == part ? permits.waiters().size() : 0;
        long target = permits.target(now);
        boolean preferred = part == preferredPart(id.shard(), now);
        long excess = Math.min(held, Math.max(0, permits.held(now) - target - (target > 0 ? 1 : 0)));
        long ahead = preferred && permits.noRoomUntil(part).compareTo(now) <= 0
                ? Math.max(0, target - permits.held(now))
                : 0;
        return new PermitMessage.Ask(name, held - excess, excess, waiting, ahead);
    }

    private int preferredPart(int shard, Duration now) {
        for (int part : order[shard]) {
            if (link(shard, part).isUsable(now)) {
                return part;
            }
        }
        return order[shard][0];
    }

    /** Handles the response of a grantor. */
    public void onResponse(PartId part, PermitMessage.Response response, Duration now) {
        Link link = links.get(part.index());
        PermitMessage.Request request = link.pending;
        if (request == null || request.number() != response.number()) {
            return;
        }
        if (response.status() != PermitMessage.Status.GRANTED) {
            abandonRequest(link, REFUSAL_PAUSE, now);
            return;
        }
        link.pending = null;
        for (PermitMessage.Granted granted : response.granted()) {
            HeldPermits permits = accounts.get(granted.account());
            if (permits != null && request.version() == version) {
                permits.confirm(part.part(), granted.total(), link.sentAt.plus(response.lifetime()));
                if (!granted.roomAfter().isZero()) {
                    permits.setNoRoomUntil(part.part(), now.plus(granted.roomAfter()));
                }
            }
        }
        continueAfter(link, now);
    }

    /** Serves the operations that waited for the grantor of a part, and asks others for those without a permit. */
    private void continueAfter(Link link, Duration now) {
        int part = link.part.part();
        for (AccountName name : List.copyOf(active.get(link.part.shard()))) {
            HeldPermits permits = accounts.get(name);
            if (permits != null && permits.askedPart() == part) {
                serveWaiting(name, permits, part, now);
                permits.setAskedPart(HeldPermits.NONE);
                if (!permits.waiters().isEmpty()) {
                    askNext(name, permits, now);
                }
            }
        }
    }

    private static void serveWaiting(AccountName name, HeldPermits permits, int part, Duration now) {
        while (!permits.waiters().isEmpty() && permits.use(part, now)) {
            permits.waiters().poll().callback().onGranted(new Permit(name, part, permits.reports(part)));
        }
    }

    /** Gives up a request, if there is one, and asks the grantor again only after a pause. */
    private void abandonRequest(Link link, Duration pause, Duration now) {
        if (link.pending != null) {
            link.pending = null;
            link.avoidUntil = now.plus(pause);
            continueAfter(link, now);
        }
    }

    /** Handles the timeouts that have passed; returns whether a response is outstanding. */
    public boolean tick(Duration now) {
        boolean pending = false;
        for (Link link : links) {
            if (link.pending != null && now.minus(link.sentAt).compareTo(RESPONSE_TIMEOUT) >= 0) {
                abandonRequest(link, SILENT_PAUSE, now);
            } else if (link.pending == null && link.isUsable(now) && needsRequest(link, now)) {
                send(link, now);
            }
            pending |= link.pending != null;
        }
        return pending;
    }

    /** Returns whether permits are to be asked for ahead of demand or renewed. */
    private boolean needsRequest(Link link, Duration now) {
        if (now.minus(link.sentAt).compareTo(MIN_INTERVAL) < 0) {
            return false;
        }
        int part = link.part.part();
        boolean preferred = part == preferredPart(link.part.shard(), now);
        return active.get(link.part.shard()).stream().map(accounts::get).anyMatch(permits -> {
            long target = permits.target(now);
            boolean low = preferred
                    && permits.held(now) * 2 < target
                    && permits.noRoomUntil(part).compareTo(now) <= 0;
            boolean renews = permits.held(part, now) > 0
                    && target > 0
                    && permits.expiresAt(part).minus(RENEWAL_MARGIN).compareTo(now) < 0;
            return low || renews;
        });
    }

    /** Returns the use of the permits of each account since the start. */
    public Map<AccountName, PermitUse> use() {
        return ImmutableMap.copyOf(Maps.transformValues(accounts, HeldPermits::counts));
    }

    /** Returns the number of requests sent since the start. */
    public long requests() {
        return requests;
    }
}
