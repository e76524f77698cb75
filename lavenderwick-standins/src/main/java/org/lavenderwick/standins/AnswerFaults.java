package org.lavenderwick.standins;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Decides which answers of one endpoint go wrong. Thread-safe. */
final class AnswerFaults {

    private final Map<AnswerFault, Integer> next = new EnumMap<>(AnswerFault.class);
    private final Map<AnswerFault, Double> chances = new EnumMap<>(AnswerFault.class);
    private Random random = new Random(0);
    private long drawn;

    /** Makes the next answers go wrong. */
    synchronized void inject(AnswerFault fault, int answers) {
        next.merge(fault, answers, Integer::sum);
    }

    /** Makes each answer go wrong with a probability, decided from the seed. */
    synchronized void chance(AnswerFault fault, double probability, long seed) {
        chances.put(fault, probability);
        random = new Random(seed);
    }

    synchronized void clear() {
        next.clear();
        chances.clear();
    }

    /** Returns the number of answers that went wrong since the start. */
    synchronized long drawn() {
        return drawn;
    }

    synchronized Optional<AnswerFault> draw() {
        Optional<AnswerFault> fault = choose();
        drawn += fault.isPresent() ? 1 : 0;
        return fault;
    }

    private Optional<AnswerFault> choose() {
        for (AnswerFault fault : AnswerFault.values()) {
            int left = next.getOrDefault(fault, 0);
            if (left > 0) {
                next.put(fault, left - 1);
                return Optional.of(fault);
            }
            double probability = chances.getOrDefault(fault, 0.0);
            if (probability > 0 && random.nextDouble() < probability) {
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }
}
