package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.model.RankName;

/**
 * A simulation of a queue in front of a server that starts one item per service interval. Items of each rank arrive at
 * a constant rate.
 */
final class OverloadSimulation {

    static final RankSettings URGENT = new RankSettings(RankName.of("urgent"), Duration.ofMillis(100), 100, 0.5);
    static final RankSettings NORMAL = new RankSettings(RankName.of("normal"), Duration.ofMillis(400), 10, 0.2);
    static final RankSettings BULK = new RankSettings(RankName.of("bulk"), Duration.ofMillis(1000), 1, 0.1);
    static final List<RankSettings> RANKS = List.of(URGENT, NORMAL, BULK);

    /** Time from the arrival of an item to its deadline. */
    private static final Duration TIME_TO_DEADLINE = Duration.ofSeconds(4);

    private final AdmissionQueue queue;
    private final int serviceIntervalMillis;
    private final Map<RankSettings, Integer> arrivalIntervalMillis = new HashMap<>();
    private final Map<RankName, List<Duration>> waits = new HashMap<>();
    private int servedOnTime;
    private int rejected;

    OverloadSimulation(AdmissionQueue queue, int serviceIntervalMillis) {
        this.queue = queue;
        this.serviceIntervalMillis = serviceIntervalMillis;
        RANKS.forEach(rank -> waits.put(rank.name(), new ArrayList<>()));
    }

    OverloadSimulation withArrivalEvery(RankSettings rank, int millis) {
        arrivalIntervalMillis.put(rank, millis);
        return this;
    }

    OverloadSimulation run(Duration length) {
        long nextId = 0;
        for (int millis = 1; millis <= length.toMillis(); millis++) {
            Duration now = Duration.ofMillis(millis);
            rejected += queue.removeExpired(now).size();
            for (RankSettings rank : RANKS) {
                Integer interval = arrivalIntervalMillis.get(rank);
                if (interval != null && millis % interval == 0) {
                    WorkItem item = WorkItem.of(nextId++, rank, Access.READ, 1, now, now.plus(TIME_TO_DEADLINE));
                    rejected += queue.offer(item, now).fold(failure -> 1, List::size);
                }
            }
            if (millis % serviceIntervalMillis == 0) {
                queue.poll(StartRule.ANY, now).ifPresent(item -> {
                    waits.get(item.rank()).add(now.minus(item.arrival()));
                    servedOnTime += now.compareTo(item.due()) <= 0 ? 1 : 0;
                    queue.recordCompletion(item, now, now.plusMillis(serviceIntervalMillis));
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
                .filter(measured -> measured.compareTo(wait) <= 0)
                .count();
    }

    int rejected() {
        return rejected;
    }

    Duration longestWait(RankSettings rank) {
        return waits.get(rank.name()).stream().max(Duration::compareTo).orElse(Duration.ZERO);
    }
}
