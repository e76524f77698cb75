package org.lavenderwick.core.propagation;

import java.util.List;
import java.util.function.BiConsumer;

import org.lavenderwick.core.propagation.SimulatedHost.StoreAccess;

/** Faults of a {@link PropagationSimulation}. */
enum PropagationFault {
    THIRD_REFUSED((simulation, millis) -> refuse(simulation, simulation.some(0.35), StoreAccess.SILENT, millis)),
    THIRD_BUSY((simulation, millis) -> refuse(simulation, simulation.some(0.35), StoreAccess.BUSY, millis)),
    MOST_REFUSED((simulation, millis) -> refuse(simulation, simulation.some(0.65), StoreAccess.SILENT, millis)),
    HALF_KILLED((simulation, millis) ->
            simulation.some(0.55).forEach(daemon -> daemon.restart(400 + simulation.random.nextInt(2000)))),
    RESTARTED_IN_TURN((simulation, millis) -> {
        List<SimulatedDaemon> daemons = simulation.some(0.45);
        for (int index = 0; index < daemons.size(); index++) {
            SimulatedDaemon daemon = daemons.get(index);
            simulation.at(simulation.now() + index * millis / daemons.size(), () -> daemon.restart(400));
        }
    }),
    DOMAIN_CUT((simulation, millis) -> {
        SimulatedDaemon any = simulation.some(0).get(0);
        simulation.cutDomains.add(any.domain());
        simulation.at(simulation.now() + millis, () -> simulation.cutDomains.remove(any.domain()));
    }),
    DAEMONS_ISOLATED((simulation, millis) -> simulation.some(0.17).forEach(daemon -> {
        daemon.host().isolated = true;
        simulation.at(simulation.now() + millis, () -> daemon.host().isolated = false);
    })),
    LINKS_CUT_ONE_WAY((simulation, millis) -> simulation.some(0.05).forEach(from -> {
        simulation.daemons.stream().filter(to -> to != from).forEach(to -> simulation.cutLink(from, to));
        simulation.at(simulation.now() + millis, () -> simulation.healLinks(from));
    })),
    DAEMONS_FROZEN((simulation, millis) ->
            simulation.some(0.2).forEach(daemon -> daemon.host().freeze(1000 + simulation.random.nextInt(4000)))),
    HOSTS_SLOW((simulation, millis) -> simulation.some(0.3).forEach(daemon -> {
        daemon.host().slowMillis = 700;
        simulation.at(simulation.now() + millis, () -> daemon.host().slowMillis = 0);
    })),
    FLEET_BUSY((simulation, millis) -> simulation.daemons.forEach(daemon -> {
        daemon.host().busyMillis = 200;
        simulation.at(simulation.now() + millis, () -> daemon.host().busyMillis = 0);
    })),
    DAEMONS_ADDED((simulation, millis) -> {
        for (int added = 0; added < 2; added++) {
            simulation.addDaemon(simulation.some(0).get(0).domain()).start();
        }
    }),
    HISTORY_DROPPED((simulation, millis) -> simulation.store.dropHistory());

    private final BiConsumer<PropagationSimulation, Long> start;

    PropagationFault(BiConsumer<PropagationSimulation, Long> start) {
        this.start = start;
    }

    /** Lets the fault begin now and end after a time, if it is one that lasts. */
    void start(PropagationSimulation simulation, long millis) {
        start.accept(simulation, millis);
    }

    private static void refuse(
            PropagationSimulation simulation, List<SimulatedDaemon> daemons, StoreAccess access, long millis) {
        daemons.forEach(daemon -> daemon.host().access = access);
        simulation.at(
                simulation.now() + millis, () -> daemons.forEach(daemon -> daemon.host().access = StoreAccess.SERVED));
    }
}
