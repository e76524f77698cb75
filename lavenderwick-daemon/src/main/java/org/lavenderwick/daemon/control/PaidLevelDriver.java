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

/** Keeps the paid level of an owned group in step with the platform. Confined to the control thread. */
final class PaidLevelDriver {
    /** The level changes at most once a minute in earnest; a daemon that dies loses at most this much of it. */
    private static final Duration INTERVAL = Duration.ofSeconds(10);

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
        synchronise();
    }

    void close() {
        closed = true;
    }

    private void synchronise() {
        if (closed) {
            return;
        }
        context.control().scheduleAt(context.control().now().plus(INTERVAL), this::synchronise);
        boolean inStep = stored.isPresent() && stored.get().equals(executor.paidLevel());
        if (!inStep) {
            context.control().deliver(context.platform().read(key), answer -> answer.forEach(this::merge));
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
            // After a conflict or a lost answer the next round reads the key again.
            context.control()
                    .deliver(
                            context.platform().compareAndSwap(key, mapper.writeValueAsString(level), revision),
                            answer -> stored = answer.isRight() ? Optional.of(level) : Optional.empty());
        } catch (JsonProcessingException e) {
            LOG.errorf("[billing] The value of %s cannot be read: %s", key, e.getOriginalMessage());
        }
    }
}
