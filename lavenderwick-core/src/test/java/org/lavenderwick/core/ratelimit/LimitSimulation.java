package org.lavenderwick.core.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ListMultimap;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.StoreEntry;

/** Daemons that start operations of accounts and grant permits, over a simulated store and network. */
final class LimitSimulation {

    static final RateLimitBounds BOUNDS = new RateLimitBounds(Duration.ofSeconds(5), 0.1, 20);

    /** Safeguards that a test can switch off. */
    enum Safeguard {
        HOLDER_WAIT,
        TENURE_END,
        VERSION_CHECK,
        PHASE_OF_OWN_ENTRY
    }

    private static final long CONFIGURATION_MILLIS = 5000;
    private static final long LEASE_MILLIS = 6000;
    private static final long UPKEEP_MILLIS = 200;
    private static final int DOMAINS = PartId.PARTS;

    /** The account of the fault tests, and the parts of its shard; the other shards are independent of it. */
    static final AccountName ACCOUNT = AccountName.of("acme");

    private static final List<PartId> PARTS = PartId.ALL.stream()
            .filter(part -> part.shard() == PartId.shardOf(ACCOUNT))
            .toList();

    private record Event(long at, long order, Runnable action) {}

    private record Stored(String value, long revision, long lease) {}

    private record Limits(long version, long confirmedAt, AccountDirectory accounts) {}

    final Random random;
    final List<Host> hosts = new ArrayList<>();
    final Map<AccountName, List<Long>> started = new HashMap<>();
    final Map<AccountName, Long> rejected = new HashMap<>();
    final Set<Safeguard> disabled = EnumSet.noneOf(Safeguard.class);
    final Set<Integer> cutLinks = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, Stored> store = new HashMap<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private Map<String, Stored> copy = Map.of();
    private final List<Limits> history = new ArrayList<>();
    private long era = EraRevision.FIRST_ERA;
    private long revision;
    private long leaseIds;
    private long order;
    private boolean storeDown;
    long messages;
    long now;

    LimitSimulation(long seed, int size, Map<AccountName, RateLimit> limits) {
        random = new Random(seed);
        configure(limits);
        for (int index = 0; index < size; index++) {
            hosts.add(new Host(index));
        }
        hosts.forEach(host -> host.start(0));
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), order++, action));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = until;
    }

    void configure(Map<AccountName, RateLimit> limits) {
        List<ClientAccount> accounts = new ArrayList<>();
        limits.forEach(
                (name, limit) -> accounts.add(new ClientAccount(name, 0, Optional.of(limit), ImmutableSet.of())));
        history.add(new Limits(history.size() + 1, now, AccountDirectory.of(accounts)));
        hosts.forEach(host -> at(now + random.nextInt(500), host::configure));
    }

    void setStoreDown(boolean down) {
        storeDown = down;
    }

    void copyStore() {
        copy = Map.copyOf(store);
    }

    /** Brings the store back from its copy in a new era. */
    void restoreStore() {
        era++;
        store.clear();
        store.putAll(copy);
        leases.replaceAll((id, end) -> now + LEASE_MILLIS);
    }

    /** Sends the operations of an account at a host, at a rate, for some time. */
    void load(AccountName account, int host, double perSecond, long from, long until) {
        long next = from + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1000);
        if (next < until) {
            at(next, () -> {
                hosts.get(host).operate(account);
                load(account, host, perSecond, now, until);
            });
        }
    }

    /** Returns a description of the first window that is over the bound; empty if there is none. */
    Optional<String> excess() {
        long window = BOUNDS.window().toMillis();
        for (Map.Entry<AccountName, List<Long>> entry : started.entrySet()) {
            List<Long> times = entry.getValue();
            int first = 0;
            for (int last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) >= window) {
                    first++;
                }
                double bound = bound(entry.getKey(), times.get(last) - window + 1, times.get(last));
                if (last - first + 1 > bound) {
                    return Optional.of(entry.getKey() + ": " + (last - first + 1) + " operations until "
                            + times.get(last) + " ms, bound " + bound);
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the bound by the highest limit that may apply; a limit applies until its successor binds. */
    private double bound(AccountName account, long from, long until) {
        double bound = 0;
        for (int index = 0; index < history.size(); index++) {
            long boundAt = index + 1 < history.size()
                    ? history.get(index + 1).confirmedAt
                            + CONFIGURATION_MILLIS
                            + BOUNDS.window().toMillis()
                    : Long.MAX_VALUE;
            if (history.get(index).confirmedAt <= until && boundAt > from) {
                RateLimit limit = history.get(index)
                        .accounts
                        .account(account)
                        .orElseThrow()
                        .limit()
                        .orElseThrow();
                bound = Math.max(bound, BOUNDS.maxOperations(limit));
            }
        }
        return bound;
    }

    private boolean leaseValid(long lease) {
        return leases.getOrDefault(lease, -1L) > now;
    }

    private Optional<Stored> read(String key) {
        Stored stored = store.get(key);
        return stored == null || !leaseValid(stored.lease) ? Optional.empty() : Optional.of(stored);
    }

    /** Revokes the lease of a host that is cut off from the store with half of the others, and restarts candidates. */
    void loseLeaseUnnoticed(Host host, long length) {
        leases.remove(host.lease);
        for (Host other : hosts) {
            boolean cut = other == host || (other.index % DOMAINS != host.index % DOMAINS && random.nextBoolean());
            if (cut) {
                other.refuseStore(true);
                at(now + length, () -> other.refuseStore(false));
            } else if (other.index % DOMAINS == host.index % DOMAINS && random.nextBoolean()) {
                at(now + 700 + random.nextInt(1500), () -> {
                    other.kill();
                    other.start(200);
                });
            }
        }
    }

    /** Cuts a host, and perhaps its failure domain, from the others in one direction. */
    void isolate(Host host, long length) {
        boolean domain = random.nextBoolean();
        boolean outward = random.nextBoolean();
        for (Host to : hosts) {
            if (to == host || (domain && to.index % DOMAINS == host.index % DOMAINS)) {
                for (Host from : hosts) {
                    int link = outward ? to.index * 1000 + from.index : from.index * 1000 + to.index;
                    cutLinks.add(link);
                    at(now + length, () -> cutLinks.remove(link));
                }
            }
        }
    }

    void revokeLease(Host host) {
        leases.remove(host.lease);
    }

    /** A host, on which one process after the other runs. */
    final class Host {
        private final int index;
        private final DaemonName name;
        private final long offset = random.nextInt(1000000);
        private final double speed = 1 + (random.nextDouble() - 0.5) / 1000;
        private final Map<Integer, Long> lastArrival = new HashMap<>();
        private long process;
        private long blockedUntil;
        private long suspended;
        boolean staleGrantor;
        private boolean storeRefused;
        private final Map<PartId, Host> view = new HashMap<>();
        private Grantor grantor;
        private PermitAsker asker;
        private List<PartClaim> claims = List.of();
        private long lease;
        private long leaseEra;
        private long renewedAt;

        private Host(int index) {
            this.index = index;
            this.name = DaemonName.of("d" + index);
        }

        private Duration clock() {
            return Duration.ofNanos((long) ((now - suspended) * speed * 1e6) + offset * 1000000L);
        }

        /** Runs an action of the present process, after the end of a pause. */
        private void later(long delay, Runnable action) {
            long started = process;
            at(now + delay, () -> runWhenAwake(started, action));
        }

        private void runWhenAwake(long started, Runnable action) {
            if (process != started) {
                return;
            }
            if (blockedUntil > now) {
                at(blockedUntil, () -> runWhenAwake(started, action));
            } else {
                action.run();
            }
        }

        void start(long delay) {
            process++;
            blockedUntil = 0;
            grantor = new Grantor(BOUNDS);
            asker = new PermitAsker(request -> send(request), random);
            view.clear();
            claims = PARTS.stream().map(part -> new PartClaim(part, name)).toList();
            lease = 0;
            later(delay, () -> {
                configure();
                upkeep();
                tick();
            });
        }

        void kill() {
            process++;
            asker = null;
        }

        void pause(long length) {
            blockedUntil = now + length;
        }

        void suspend(long length) {
            blockedUntil = now + length;
            long started = process;
            at(blockedUntil, () -> {
                suspended += length;
                if (process == started && asker != null) {
                    asker.discard(clock());
                    grantor.discard(clock());
                }
            });
        }

        void refuseStore(boolean refused) {
            storeRefused = refused;
        }

        private void configure() {
            if (asker == null) {
                return;
            }
            Limits newest = history.get(history.size() - 1);
            asker.applyAccounts(newest.accounts, disabled.contains(Safeguard.VERSION_CHECK) ? 0 : newest.version);
            if (!staleGrantor || newest.version == 1) {
                grantor.applyAccounts(newest.accounts, newest.version, clock());
            }
        }

        void operate(AccountName account) {
            if (asker == null || blockedUntil > now || !asker.isLimited(account)) {
                return;
            }
            asker.acquire(account, clock(), new PermitAsker.Callback() {
                @Override
                public void onGranted(Permit permit) {
                    if (random.nextInt(50) == 0) {
                        // Rejected by the endpoint as not run.
                        later(20, () -> asker.giveBack(permit, clock()));
                    } else {
                        started.computeIfAbsent(account, key -> new ArrayList<>())
                                .add(now);
                    }
                }

                @Override
                public void onRejected(Duration retryAfter) {
                    rejected.merge(account, 1L, Long::sum);
                }
            });
        }

        private void tick() {
            asker.tick(clock());
            later(40, this::tick);
        }

        private Optional<Host> holder(PartId part) {
            return Optional.ofNullable(view.get(part));
        }

        private Optional<Host> storedHolder(PartId part) {
            return read(part.key())
                    .flatMap(stored -> PartEntry.decode(stored.value))
                    .map(entry ->
                            hosts.get(Integer.parseInt(entry.holder().value().substring(1))));
        }

        private boolean send(PermitMessage.Request request) {
            Optional<Host> target = holder(request.part());
            if (target.isEmpty()) {
                return false;
            }
            Host grantorHost = target.get();
            Object identity = List.of(index, process);
            transmit(grantorHost, () -> grantorHost.handle(this, identity, request));
            return true;
        }

        private void handle(Host from, Object identity, PermitMessage.Request request) {
            PermitMessage.Response response = grantor.handle(identity, request, clock());
            transmit(from, () -> from.receive(request.part(), response));
        }

        private void receive(PartId part, PermitMessage.Response response) {
            asker.onResponse(part, response, clock());
        }

        /** Sends a message that arrives after those sent before, unless the link is cut or the target is down. */
        private void transmit(Host target, Runnable action) {
            if (target != this) {
                messages++;
            }
            long arrival = Math.max(now + random.nextInt(3), lastArrival.getOrDefault(target.index, 0L));
            lastArrival.put(target.index, arrival);
            if (!cutLinks.contains(index * 1000 + target.index) && target.asker != null) {
                target.later(arrival - now, action);
            }
        }

        private boolean reachesStore() {
            return !storeDown && !storeRefused;
        }

        private void upkeep() {
            long sentAt = now;
            Duration sent = clock();
            // A call takes up to 100 ms, and what it returns is known then.
            if (reachesStore()) {
                maintainLease(sentAt);
            }
            if (lease != 0 && leaseEra == era) {
                claims.forEach(claim -> claim(claim, sent));
            }
            publishTenures();
            if (reachesStore()) {
                updateView();
            }
            Set<PartId> known = new HashSet<>();
            Set<PartId> near = new HashSet<>();
            for (PartId part : PARTS) {
                holder(part).ifPresent(host -> {
                    known.add(part);
                    if (host.index % DOMAINS == index % DOMAINS) {
                        near.add(part);
                    }
                });
            }
            asker.applyGrantors(known, near);
            later(UPKEEP_MILLIS, this::upkeep);
        }

        private void updateView() {
            for (PartId part : PARTS) {
                Host before = view.get(part);
                Host after = storedHolder(part).orElse(null);
                if (after == null) {
                    view.remove(part);
                } else {
                    view.put(part, after);
                }
                if (before != null && before != after) {
                    asker.onGrantorLost(part, clock());
                }
            }
        }

        private void maintainLease(long sentAt) {
            if (lease == 0 || leaseEra != era) {
                lease = ++leaseIds;
                leaseEra = era;
                leases.put(lease, now + LEASE_MILLIS);
                renewedAt = sentAt;
            } else if (now - renewedAt >= LEASE_MILLIS / 3) {
                if (leaseValid(lease)) {
                    leases.put(lease, now + LEASE_MILLIS);
                    renewedAt = sentAt;
                    Duration sent = clock();
                    claims.forEach(claim -> claim.onRenewed(lease, era, sent));
                } else {
                    lease = 0;
                }
            }
        }

        private void claim(PartClaim claim, Duration sent) {
            Optional<Stored> stored = read(claim.part().key());
            boolean candidate = claim.part().part() == index % DOMAINS;
            Optional<Duration> turn =
                    candidate ? Optional.of(Duration.ofMillis(index / DOMAINS * 400L)) : Optional.empty();
            Optional<StoreEntry> entry = stored.map(found -> new StoreEntry(
                    claim.part().key(),
                    disabled.contains(Safeguard.PHASE_OF_OWN_ENTRY)
                            ? found.value.replace("WAITING", "SETTLED").replace("STARTING", "SETTLED")
                            : found.value,
                    EraRevision.of(era, found.revision)));
            Optional<PartClaim.Write> write = claim.next(entry, era, lease, turn, clock());
            if (write.isEmpty()) {
                return;
            }
            if (!reachesStore() || !leaseValid(lease)) {
                claim.onFailed(clock());
                return;
            }
            store.put(claim.part().key(), new Stored(write.get().entry().encode(), ++revision, lease));
            if (random.nextInt(10) == 0) {
                // The response is lost.
                claim.onFailed(clock());
            } else {
                claim.onWritten(write.get(), EraRevision.of(era, revision), lease, sent, clock());
            }
        }

        private void publishTenures() {
            ListMultimap<PartId, Tenure> tenures = ArrayListMultimap.create();
            for (PartClaim claim : claims) {
                claim.tenures().forEach(tenure -> tenures.put(claim.part(), relax(tenure)));
            }
            grantor.applyTenures(tenures, clock());
        }

        private Tenure relax(Tenure tenure) {
            return new Tenure(
                    tenure.acquisition(),
                    disabled.contains(Safeguard.HOLDER_WAIT) ? Duration.ZERO : tenure.startsAt(),
                    disabled.contains(Safeguard.TENURE_END) ? Duration.ofDays(1) : tenure.confirmedAt());
        }
    }
}
