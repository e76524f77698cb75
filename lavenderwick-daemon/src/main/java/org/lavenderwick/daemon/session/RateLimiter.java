package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import org.jboss.logging.Logger;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.ratelimit.Grantor;
import org.lavenderwick.core.ratelimit.PartId;
import org.lavenderwick.core.ratelimit.Permit;
import org.lavenderwick.core.ratelimit.PermitAsker;
import org.lavenderwick.core.ratelimit.PermitMessage;
import org.lavenderwick.core.ratelimit.PermitUse;
import org.lavenderwick.core.ratelimit.Tenure;

/**
 * Keeps the rate limits of client accounts: it obtains the permits for the operations that this daemon starts, and
 * grants permits for the parts that this daemon holds. Confined to the traffic thread.
 */
final class RateLimiter {

    /** Time in which an account that is at its limit is logged once. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private static final Logger LOG = Logger.getLogger(RateLimiter.class);

    private final EventLoop loop;
    private final DaemonName daemon;
    private final FailureDomain domain;
    private final Runnable clockCheck;
    private final Grantor grantor;
    private final PermitAsker asker;
    private final PermitConnections connections;
    private final Map<AccountName, Duration> loggedAt = new HashMap<>();
    private Map<DaemonName, Peer> peers = Map.of();
    private Map<PartId, DaemonName> holders = Map.of();
    private Catalog catalog;

    /**
     * Creates a limiter that knows of no limits.
     *
     * @param clockCheck calls {@link #discard} if the host was suspended since the last check
     */
    RateLimiter(
            EventLoop loop,
            DaemonName daemon,
            FailureDomain domain,
            RateLimitBounds bounds,
            RandomGenerator random,
            Runnable clockCheck) {
        this.loop = loop;
        this.daemon = daemon;
        this.domain = domain;
        this.clockCheck = clockCheck;
        this.grantor = new Grantor(bounds);
        this.asker = new PermitAsker(this::send, random);
        this.connections = new PermitConnections(loop, (name, line) -> onResponse(line), this::onLost);
    }

    /** Applies the accounts and the daemons of a snapshot. */
    void apply(FleetSnapshot snapshot) {
        Optional<Catalog> changed = snapshot.catalog().filter(found -> found != catalog);
        if (changed.isPresent()) {
            catalog = changed.get();
            asker.applyAccounts(catalog.accounts(), catalog.version());
            grantor.applyAccounts(catalog.accounts(), catalog.version(), loop.currentTime());
        }
        if (peers != snapshot.peers()) {
            peers = snapshot.peers();
            updateGrantors();
        }
    }

    /** Applies who grants. */
    void apply(GrantorView view) {
        Map<PartId, DaemonName> before = holders;
        holders = view.holders();
        ListMultimap<PartId, Tenure> tenures = ArrayListMultimap.create();
        view.tenures().forEach(tenures::putAll);
        grantor.applyTenures(tenures, loop.currentTime());
        updateGrantors();
        before.forEach((part, holder) -> {
            if (!holder.equals(holders.get(part))) {
                asker.onGrantorLost(part, loop.currentTime());
            }
        });
    }

    private void updateGrantors() {
        Set<PartId> known = new HashSet<>();
        Set<PartId> near = new HashSet<>();
        holders.forEach((part, holder) -> {
            Peer peer = peers.get(holder);
            if (peer != null || holder.equals(daemon)) {
                known.add(part);
            }
            if (holder.equals(daemon) || (peer != null && peer.failureDomain().equals(domain))) {
                near.add(part);
            }
        });
        asker.applyGrantors(known, near);
    }

    /** Drops all that was obtained or granted until the given time, because the host was suspended. */
    void discard(Duration until) {
        grantor.discard(until);
        asker.discard(until);
    }

    /** Returns whether the operations of an account are limited. */
    boolean isLimited(AccountName account) {
        return asker.isLimited(account);
    }

    /** Decides on an operation of a limited account. The callback is called now or later. */
    void acquire(AccountName account, PermitAsker.Callback callback) {
        // Not the time at which this iteration of the loop began: permits may have expired since then.
        Duration now = loop.currentTime();
        clockCheck.run();
        asker.acquire(account, now, new PermitAsker.Callback() {
            @Override
            public void onGranted(Permit permit) {
                callback.onGranted(permit);
            }

            @Override
            public void onRejected(Duration retryAfter) {
                logRejection(account, now);
                callback.onRejected(retryAfter);
            }
        });
    }

    private void logRejection(AccountName account, Duration now) {
        Duration last = loggedAt.get(account);
        if (last == null || last.plus(LOG_INTERVAL).compareTo(now) <= 0) {
            loggedAt.put(account, now);
            PermitUse use = asker.use().get(account);
            LOG.infof(
                    "[limits] Account %s has no permits left here: %d operations allowed and %d rejected so far.",
                    account, use == null ? 0 : use.used(), use == null ? 0 : use.rejected());
        }
    }

    /** Takes back a permit whose operation did not run. */
    void giveBack(Permit permit) {
        asker.giveBack(permit, loop.currentTime());
    }

    private boolean send(PermitMessage.Request request) {
        DaemonName holder = holders.get(request.part());
        if (daemon.equals(holder)) {
            loop.execute(() -> asker.onResponse(request.part(), handle(this, request), loop.currentTime()));
            return true;
        }
        Peer peer = holder == null ? null : peers.get(holder);
        return peer != null && connections.send(holder, peer, PermitProtocol.format(request));
    }

    /** Responds to the request of another daemon; closes the connection if it is malformed. */
    void onRequest(LineConnection line, String text) {
        Optional<PermitMessage.Request> request = PermitProtocol.parseRequest(text);
        if (request.isEmpty()) {
            line.close();
        } else {
            line.send(PermitProtocol.format(request.get().part(), handle(line, request.get())));
        }
    }

    private PermitMessage.Response handle(Object from, PermitMessage.Request request) {
        Duration now = loop.currentTime();
        PermitMessage.Response response = grantor.handle(from, request, now);
        // After the time was taken: the host may have been suspended between the last check and now.
        clockCheck.run();
        return grantor.mayGrant(request.part(), now)
                ? response
                : Grantor.refusal(request, PermitMessage.Status.NOT_GRANTOR);
    }

    private void onResponse(String line) {
        Duration now = loop.currentTime();
        clockCheck.run();
        PermitProtocol.parseResponse(line).ifPresent(answer -> asker.onResponse(answer.part(), answer.response(), now));
    }

    private void onLost(DaemonName lost) {
        Duration now = loop.currentTime();
        List.copyOf(holders.entrySet()).stream()
                .filter(entry -> entry.getValue().equals(lost))
                .forEach(entry -> asker.onGrantorLost(entry.getKey(), now));
    }

    /** Handles timeouts; returns whether a response is outstanding. */
    boolean tick(Duration now) {
        connections.tick(now);
        return asker.tick(now);
    }

    /** Returns the permits that this daemon has granted to all daemons, by account. */
    Map<AccountName, Long> granted() {
        return grantor.granted();
    }

    /** Returns the use of permits by the operations that this daemon started, by account. */
    Map<AccountName, PermitUse> use() {
        return asker.use();
    }
}
