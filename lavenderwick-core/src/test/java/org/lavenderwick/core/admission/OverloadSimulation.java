package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.model.RankName;

/** Drives a queue with steady arrivals per rank in front of a server that starts one item per fixed interval. */
final class OverloadSimulation {

    static final RankSettings URGENT = new RankSettings(RankName.of("urgent"), Duration.ofMillis(100), 100, 0.5);
    static final RankSettings NORMAL = new RankSettings(RankName.of("normal"), Duration.ofMillis(400), 10, 0.2);
    static final RankSettings BULK = new RankSettings(RankName.of("bulk"), Duration.ofMillis(1000), 1, 0.1);
    static final List<RankSettings> RANKS = List.of(URGENT, NORMAL, BULK);

    private static final Duration PATIENCE = Duration.ofSeconds(4);

    private final AdmissionQueue queue;
    private final int serviceMillis;
    private final Map<RankSettings, Integer> arrivalMillis = new HashMap<>();
    private final Map<RankName, List<Duration>> waits = new HashMap<>();
    private int servedOnTime;
    private int refused;

    OverloadSimulation(AdmissionQueue queue, int serviceMillis) {
        this.queue = queue;
        this.serviceMillis = serviceMillis;
        RANKS.forEach(rank -> waits.put(rank.name(), new ArrayList<>()));
    }

    OverloadSimulation arrivalEvery(RankSettings rank, int millis) {
        arrivalMillis.put(rank, millis);
        return this;
    }

    OverloadSimulation run(Duration length) {
        long nextId = 0;
        for (int millis = 1; millis <= length.toMillis(); millis++) {
            Duration now = Duration.ofMillis(millis);
            refused += queue.removeExpired(now).size();
            for (RankSettings rank : RANKS) {
                Integer interval = arrivalMillis.get(rank);
                if (interval != null && millis % interval == 0) {
                    WorkItem item = WorkItem.of(nextId++, rank, Access.READ, 1, now, now.plus(PATIENCE));
                    refused += queue.offer(item, now).fold(failure -> 1, List::size);
                }
            }
            if (millis % serviceMillis == 0) {
                queue.poll(StartRule.ANY, now).ifPresent(item -> {
                    waits.get(item.rank()).add(now.minus(item.arrival()));
                    servedOnTime += now.compareTo(item.due()) <= 0 ? 1 : 0;
                    queue.recordCompletion(item, now, now.plusMillis(serviceMillis));
                });
            }
        }
        return this;
    }

    int served() {
        return waits.values().stream().mapToInt(List::size).sum();
    }

    int served(RankSettings rank) {
        return waits.get(rank.name()).size();
    }

    int servedOnTime() {
        return servedOnTime;
    }

    long servedWithin(RankSettings rank, Duration wait) {
        return waits.get(rank.name()).stream()
                .filter(served -> served.compareTo(wait) <= 0)
                .count();
    }

    int refused() {
        return refused;
    }

    Duration longestWait(RankSettings rank) {
        return waits.get(rank.name()).stream().max(Duration::compareTo).orElse(Duration.ZERO);
    }
}
