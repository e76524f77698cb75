package org.lavenderwick.standins;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.json.JsonMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteRequest;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;

class GroupEmulatorTest {

    private static final GroupName GROUP = GroupName.of("ledger");
    private static final List<EndpointName> NAMES =
            List.of(EndpointName.of("e1"), EndpointName.of("e2"), EndpointName.of("e3"));
    private static final int STEPS = 60;

    /** Replication runs only when the test calls it, so that a seed gives the same sequence each time. */
    private static final EndpointOptions MANUAL = EndpointOptions.DEFAULT.withReplicationTick(Duration.ofDays(1));

    /**
     * Guards against replicas that differ after all faults have ended, against committed entries that two endpoints
     * hold at the same point with different content, and against promises that go back.
     */
    @Property(tries = 40, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void replicasAgreeAfterAnySequenceOfFaults(@ForAll int seed) throws Exception {
        Map<String, String> written = new HashMap<>();
        List<String> conflicts = new ArrayList<>();
        EndpointHistory history = event -> {
            if (event instanceof HistoryEvent.WriteApplied write) {
                String value = write.value().toString();
                String known = written.putIfAbsent(write.point() + write.key(), value);
                if (known != null && !known.equals(value)) {
                    conflicts.add(write.point() + " holds " + known + " and " + value);
                }
            }
        };
        AtomicReference<Instant> time = new AtomicReference<>(Instant.EPOCH);
        try (StandinRuntime runtime = StandinRuntime.start();
                GroupEmulator group = GroupEmulator.start(settings(), runtime, MANUAL, time::get, history)) {
            new Trial(group, time, new Random(seed)).run();
            assertThat(conflicts).isEmpty();
        }
    }

    private static GroupSettings settings() {
        List<EndpointSettings> endpoints = new ArrayList<>();
        for (int i = 1; i <= NAMES.size(); i++) {
            endpoints.add(
                    new EndpointSettings(NAMES.get(i - 1), FailureDomain.of("f" + i), "127.0." + i + ".1:0", 9, 3));
        }
        return new GroupSettings(GROUP, ServiceName.of("orders"), endpoints);
    }

    private static final class Trial {
        private final GroupEmulator group;
        private final AtomicReference<Instant> time;
        private final Random random;
        private final Map<EndpointName, Term> promises = new HashMap<>();
        private final Set<EndpointName> dead = new HashSet<>();
        private long term = 1;
        private int requests;

        Trial(GroupEmulator group, AtomicReference<Instant> time, Random random) {
            this.group = group;
            this.time = time;
            this.random = random;
        }

        void run() throws Exception {
            for (int step = 0; step < STEPS; step++) {
                act(NAMES.get(random.nextInt(NAMES.size())));
                checkPromises();
            }
            for (EndpointName name : NAMES) {
                group.silentBlocks(name, Set.of());
                group.alive(name, true);
                group.paused(name, false);
                group.replication(name, Replication.PROMPT);
            }
            promote(NAMES.get(random.nextInt(NAMES.size())));
            replicate();
            assertThat(NAMES.stream().map(name -> group.status(name).point()).distinct())
                    .hasSize(1);
            assertThat(NAMES.stream().filter(name -> group.status(name).primary()))
                    .hasSize(1);
            for (int key = 0; key < 3; key++) {
                String name = "k" + key;
                assertThat(NAMES.stream()
                                .map(endpoint -> group.value(endpoint, name))
                                .distinct())
                        .hasSize(1);
            }
        }

        private void act(EndpointName name) throws Exception {
            switch (random.nextInt(8)) {
                case 0 -> group.silentBlocks(name, Set.of(1 + random.nextInt(NAMES.size())));
                case 1 -> group.silentBlocks(name, Set.of());
                case 2 -> group.replication(name, random.nextBoolean() ? Replication.STOPPED : Replication.PROMPT);
                case 3 -> {
                    boolean alive = random.nextBoolean();
                    group.alive(name, alive);
                    if (alive) {
                        dead.remove(name);
                    } else {
                        dead.add(name);
                    }
                }
                case 4 -> promote(name);
                default -> write(name);
            }
            if (random.nextInt(4) == 0) {
                replicate();
            }
        }

        private void replicate() {
            time.updateAndGet(now -> now.plusMillis(5));
            group.replicate();
        }

        private void promote(EndpointName name) {
            term++;
            EndpointStatus sealed = group.seal(name, Term.of(term));
            EndpointStatus promoted =
                    group.promote(name, Term.of(term), sealed.point().position());
            assertThat(promoted.primary()).isTrue();
            assertThat(promoted.term()).isEqualTo(Term.of(term));
        }

        private void write(EndpointName name) throws Exception {
            requests++;
            ExecuteRequest request = new ExecuteRequest(
                    "c",
                    "r" + requests,
                    GROUP,
                    true,
                    TransactionStep.SINGLE,
                    new JsonMapper()
                            .readTree("[{\"op\":\"put\",\"key\":\"k" + random.nextInt(3) + "\",\"value\":" + requests
                                    + "}]"),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty());
            CompletableFuture<ExecuteAnswer> answer = new CompletableFuture<>();
            boolean primary = group.status(name).primary();
            group.execute(name, new EndpointSession("c", 0), request, answer::complete);
            if (!primary && !dead.contains(name)) {
                assertThat(TestFleet.await(answer).outcome()).isEqualTo(EndpointOutcome.NOT_PRIMARY);
            }
        }

        private void checkPromises() {
            for (EndpointName name : NAMES) {
                EndpointStatus status = group.status(name);
                assertThat(status.promisedTerm()).isGreaterThanOrEqualTo(status.term());
                assertThat(status.promisedTerm()).isGreaterThanOrEqualTo(promises.getOrDefault(name, Term.NONE));
                promises.put(name, status.promisedTerm());
            }
        }
    }
}
