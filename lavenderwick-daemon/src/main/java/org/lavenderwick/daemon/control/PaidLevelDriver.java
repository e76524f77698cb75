package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.billing.PaidLevel;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.daemon.group.GroupExecutor;

/** Synchronizer of the paid level of an owned group with its copy on the platform. Confined to the control thread. */
final class PaidLevelDriver {
    /**
     * Interval between synchronizations. A daemon that fails loses at most this much of the level, which takes on a
     * significant new value at most once a minute.
     */
    private static final Duration SYNC_INTERVAL = Duration.ofSeconds(10);

    private static final Logger LOG = Logger.getLogger(PaidLevelDriver.class);

    private final ControlContext context;
    private final String key;
    private final GroupExecutor executor;
    private final JsonMapper mapper = JsonMappers.create();
    private Optional<PaidLevel> stored = Optional.empty();
    private boolean closed;

    PaidLevelDriver(ControlContext context, GroupName group, GroupExecutor executor) {
        this.context = context;
        this.key = "billing/" + group;
        this.executor = executor;
    }

    void start() {
        synchronize();
    }

    void close() {
        closed = true;
    }

    private void synchronize() {
        if (closed) {
            return;
        }
        context.control().scheduleAt(context.control().now().plus(SYNC_INTERVAL), this::synchronize);
        boolean isSynchronized = stored.isPresent() && stored.get().equals(executor.paidLevel());
        if (!isSynchronized) {
            context.control().deliver(context.platform().read(key), result -> result.forEach(this::merge));
        }
    }

    private void merge(Optional<VersionedValue> value) {
        try {
            if (value.isPresent()) {
                PaidLevel known = mapper.readValue(value.get().value(), PaidLevel.class);
                executor.mergePaidLevel(known);
                stored = Optional.of(known);
            }
            PaidLevel level = executor.paidLevel();
            if (stored.isPresent() && stored.get().equals(level)) {
                return;
            }
            long revision = value.map(VersionedValue::revision).orElse(PlatformPort.ABSENT);
            // After a conflict or a missing response the next round reads the key again.
            context.control()
                    .deliver(
                            context.platform().compareAndSwap(key, mapper.writeValueAsString(level), revision),
                            result -> stored = result.isRight() ? Optional.of(level) : Optional.empty());
        } catch (JsonProcessingException e) {
            LOG.errorf(
                    "[billing] Failed to parse or serialize the paid level in %s; retrying in a later round: %s",
                    key, e.getOriginalMessage());
        }
    }
}
