package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/** Applies random events to a pool and compares its state with a model of every connection. */
class ConnectionPoolPropertyTest {

    private final Set<Long> idle = new HashSet<>();
    private final Set<Long> inUse = new HashSet<>();
    private final Set<Long> unclean = new HashSet<>();
    private final Map<Long, ConnectionPurpose> purposes = new HashMap<>();
    private Optional<Long> opening = Optional.empty();

    /**
     * A connection must never have two users or be reused with an open transaction or an unmatched response. At
     * most one connection may be opened at a time, and no connection may be opened beyond the share.
     */
    @Property(tries = 500, seed = "271828")
    void everyConnectionHasAtMostOneUser(@ForAll long seed) {
        reset();
        Random random = new Random(seed);
        PoolSizing sizing = random.nextBoolean() ? FixedSizing.create() : OnDemandSizing.of(Duration.ofSeconds(3));
        int share = random.nextInt(6);
        ConnectionPoolState pool = ConnectionPoolState.create(sizing, share, random);
        Duration now = Duration.ZERO;
        for (int step = 0; step < 400; step++) {
            now = now.plusMillis(random.nextInt(300));
            int openBefore = pool.connectionCount();
            switch (random.nextInt(10)) {
                case 0 -> opening.ifPresent(id -> finishOpen(pool, id, random));
                case 1 -> pool.removeExpiredIdle(Duration.ofMillis(step * 300L)).forEach(this::removeIdle);
                case 2 -> {
                    share = random.nextInt(6);
                    pool.resize(share).forEach(this::removeIdle);
                }
                case 3 -> pool.replenish(now).ifPresent(this::startOpen);
                case 4 -> loseConnection(pool, random);
                case 5, 6, 7 -> acquire(pool, random, now);
                default -> release(pool, random, now);
            }
            assertThat(pool.connectionCount()).isEqualTo(idle.size() + inUse.size() + (opening.isPresent() ? 1 : 0));
            assertThat(pool.connectionCount()).isLessThanOrEqualTo(Math.max(openBefore, share));
            assertThat(purposes.values().stream()
                            .filter(ConnectionPurpose.CONTROL::equals)
                            .count())
                    .isLessThanOrEqualTo(1);
        }
    }

    /** Clears the model, because all tries of a property share one test instance. */
    private void reset() {
        idle.clear();
        inUse.clear();
        unclean.clear();
        purposes.clear();
        opening = Optional.empty();
    }

    private void acquire(ConnectionPoolState pool, Random random, Duration now) {
        ConnectionPurpose purpose = random.nextInt(4) == 0 ? ConnectionPurpose.CONTROL : ConnectionPurpose.TRAFFIC;
        boolean mayOpen = random.nextInt(4) != 0;
        PoolDecision decision = pool.acquire(purpose, () -> mayOpen, now);
        if (decision instanceof PoolDecision.Use use) {
            assertThat(purposes).containsEntry(use.connection(), purpose);
            assertThat(idle.remove(use.connection())).isTrue();
            assertThat(inUse.add(use.connection())).isTrue();
            assertThat(unclean).doesNotContain(use.connection());
        } else if (decision instanceof PoolDecision.Open open) {
            assertThat(mayOpen).isTrue();
            startOpen(open);
        }
    }

    private void startOpen(PoolDecision.Open open) {
        assertThat(opening).isEmpty();
        opening = Optional.of(open.connection());
        assertThat(purposes.put(open.connection(), open.purpose())).isNull();
    }

    private void finishOpen(ConnectionPoolState pool, long id, Random random) {
        opening = Optional.empty();
        if (random.nextInt(3) == 0) {
            pool.onOpenFailed(id, Duration.ZERO);
            purposes.remove(id);
        } else if (pool.onOpened(id, Duration.ZERO)) {
            idle.add(id);
        } else {
            purposes.remove(id);
        }
    }

    private void release(ConnectionPoolState pool, Random random, Duration now) {
        Iterator<Long> candidates = List.copyOf(inUse).iterator();
        if (candidates.hasNext()) {
            long id = candidates.next();
            ReleaseState state = ReleaseState.values()[random.nextInt(ReleaseState.values().length)];
            inUse.remove(id);
            if (state != ReleaseState.CLEAN) {
                unclean.add(id);
            }
            boolean kept = pool.release(id, state, now);
            assertThat(kept && state != ReleaseState.CLEAN).isFalse();
            if (kept) {
                idle.add(id);
            } else {
                purposes.remove(id);
            }
        }
    }

    private void loseConnection(ConnectionPoolState pool, Random random) {
        Set<Long> source = random.nextBoolean() ? idle : inUse;
        List.copyOf(source).stream().findFirst().ifPresent(id -> {
            pool.onLost(id);
            source.remove(id);
            purposes.remove(id);
            assertThat(pool.release(id, ReleaseState.CLEAN, Duration.ZERO)).isFalse();
        });
    }

    private void removeIdle(long id) {
        assertThat(idle.remove(id)).isTrue();
        purposes.remove(id);
    }
}
