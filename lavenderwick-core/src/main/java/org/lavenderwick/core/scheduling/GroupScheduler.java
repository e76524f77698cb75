package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.scheduling.AdmissionDecision.Admitted;
import org.lavenderwick.core.scheduling.AdmissionDecision.Reason;
import org.lavenderwick.core.scheduling.AdmissionDecision.Rejected;
import org.lavenderwick.core.scheduling.OperationClass.Pool;

/**
 * The operations of one database group: which arriving ones are admitted, and which takes a free slot. The cost of a
 * decision does not depend on the number of operations that wait, only on the number of databases and failure domains
 * with work waiting and on the number of slots. Not thread-safe.
 */
public final class GroupScheduler {

    /** Shortest time after which a caller should come back, about the time of a retry at another daemon. */
    private static final double MIN_RETRY_SECONDS = 0.05;

    /** The suggested times are spread over this part of the delay, after it. */
    private static final double SPREAD = 0.5;

    /**
     * How many operations that an endpoint may not run are passed over for one slot. Usually none is, because reads
     * wait for a slot only once some replica holds their position.
     */
    private static final int MAX_PASSED_OVER = 8;

    private record PassedOver(WaitingOperation waiting, OperationClass.Key from) {}

    private final RandomGenerator random;
    private final SlotTimes slotTimes = new SlotTimes();
    private final MinimumShares shares = new MinimumShares();
    private final RunningOperations running = new RunningOperations();
    private final DispatchOrder order = new DispatchOrder(shares, slotTimes, running);
    private final LoadByRank load = new LoadByRank();
    private final WaitingOperations waiting;
    private final FinishPredictor predictor;

    private GroupScheduler(ReplicaForecast forecast, RandomGenerator random) {
        this.random = random;
        this.waiting = new WaitingOperations(forecast, slotTimes, shares);
        this.predictor = new FinishPredictor(waiting, running, order, load);
    }

    /** Returns a scheduler without endpoints. */
    public static GroupScheduler create(ReplicaForecast forecast, RandomGenerator random) {
        return new GroupScheduler(forecast, random);
    }

    /** Sets the slots that this scheduler may use. */
    public void updateSlots(List<EndpointSlots> endpoints) {
        running.update(endpoints);
    }

    /** Returns the number of operations that wait. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns the number of operations that run on an endpoint. */
    public int runningOn(EndpointName endpoint) {
        return running.onEndpoint(endpoint);
    }

    /** Decides on an arriving operation, and queues it if it is admitted. */
    public AdmissionDecision arrive(Operation operation, Duration now) {
        waiting.advance(now);
        double cost = slotTimes.mean(operation.database());
        Optional<Rejected> rejection = rejection(operation, cost, now);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        load.add(operation.rank(), cost, now);
        waiting.add(operation, now, now);
        return new Admitted();
    }

    /** Queues an operation that is not rejected for its predicted finish, and may not run before the given time. */
    public void enqueue(Operation operation, Duration notBefore, Duration now) {
        waiting.add(operation, notBefore, now);
    }

    private Optional<Rejected> rejection(Operation operation, double cost, Duration now) {
        if (operation.inTransaction() || waiting.size() == 0) {
            return Optional.empty();
        }
        Duration latestStart = operation.dueAt().minus(Seconds.toDuration(cost));
        Pool pool = waiting.pool(operation, latestStart, now);
        FinishPredictor.Prediction prediction = predictor.predict(operation, cost, pool, now);
        double late = prediction.seconds() + cost - Seconds.of(operation.dueAt().minus(now));
        if (Double.isInfinite(prediction.seconds()) || late <= 0) {
            return Optional.empty();
        }
        if (prediction.lateSeconds() + cost > Seconds.of(operation.deadline().minus(now))) {
            return Optional.of(new Rejected(Reason.DEADLINE, retryAfter(late)));
        }
        return prediction.displaces()
                ? Optional.of(new Rejected(Reason.DISPLACES, retryAfter(late)))
                : Optional.empty();
    }

    private Duration retryAfter(double roomInSeconds) {
        double delay = Math.max(MIN_RETRY_SECONDS, roomInSeconds);
        return Seconds.toDuration(delay * (1 + SPREAD * random.nextDouble()));
    }

    /** Gives a free slot to the first operation that may take it, and returns this operation. */
    public Optional<Operation> dispatch(FreeSlot slot, Duration now) {
        waiting.advance(now);
        List<PassedOver> passedOver = new ArrayList<>();
        WaitingOperation found = null;
        while (found == null && passedOver.size() < MAX_PASSED_OVER) {
            WaitingOperation candidate = order.first(waiting.classes(), slot);
            if (candidate == null) {
                break;
            }
            OperationClass.Key from = candidate.place().key();
            waiting.take(candidate);
            if (slot.eligible().test(candidate.operation())) {
                found = candidate;
            } else {
                passedOver.add(new PassedOver(candidate, from));
            }
        }
        passedOver.forEach(passed -> waiting.putBack(passed.waiting(), passed.from()));
        if (found == null && slot.primary() && !slot.contended()) {
            found = waiting.takeAwaitingReplica();
        }
        if (found == null) {
            return Optional.empty();
        }
        start(found, slot, now);
        return Optional.of(found.operation());
    }

    private void start(WaitingOperation found, FreeSlot slot, Duration now) {
        Operation operation = found.operation();
        waiting.finish(found);
        running.start(operation, slot.endpoint(), found.cost(), now);
        waiting.flows(operation.rank()).onDispatched(operation, found.cost());
        shares.onDispatched(MinimumShares.keys(operation), found.cost());
    }

    /** Records that an operation has finished, and charges its flow for the measured instead of the expected time. */
    public void onFinished(Operation operation, Duration slotTime) {
        double charged = running.finish(operation.id());
        slotTimes.record(operation.database(), slotTime);
        charge(operation, Seconds.of(slotTime) - charged);
    }

    /** Records that an operation no longer runs and that its slot time says nothing about its database. */
    public void onEnded(Operation operation, Duration slotTime) {
        charge(operation, Seconds.of(slotTime) - running.finish(operation.id()));
    }

    /** Charges slot time that was spent on behalf of an operation, such as that of a new connection. */
    public void charge(Operation operation, Duration slotTime) {
        charge(operation, Seconds.of(slotTime));
    }

    private void charge(Operation operation, double seconds) {
        waiting.flows(operation.rank()).charge(operation, seconds);
    }

    /** Removes a waiting operation whose caller has left. */
    public void cancel(Operation operation) {
        waiting.remove(operation.id());
    }

    /** Removes and returns the operations that still wait at their deadline. */
    public List<Operation> removeExpired(Duration now) {
        return waiting.removeExpired(now);
    }
}
