package org.lavenderwick.daemon.control;

import java.time.InstantSource;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.audit.AuditLog;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.daemon.entry.Self;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupRecords;

/**
 * What the parts of the control state share.
 *
 * @param self this process
 * @param control the control thread
 * @param platform the platform
 * @param records the group records on the platform
 * @param audit the audit log on the platform
 * @param wallClock wall time
 * @param random source of jitter, thread-safe
 */
public record ControlContext(
        Self self,
        EventLoop control,
        PlatformPort platform,
        GroupRecords records,
        AuditLog audit,
        InstantSource wallClock,
        RandomGenerator random) {}
