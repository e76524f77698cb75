package org.lavenderwick.daemon.control;

import java.time.InstantSource;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.audit.AuditLog;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.daemon.entry.Self;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupRecords;

/**
 * Dependencies shared by the components of the control plane.
 *
 * @param self identity of this daemon process
 * @param control event loop of the control thread
 * @param platform client of the platform
 * @param records store of the group records on the platform
 * @param audit the audit log on the platform
 * @param wallClock wall clock
 * @param random thread-safe random generator, used for jitter and for names of lease holders
 */
public record ControlContext(
        Self self,
        EventLoop control,
        PlatformPort platform,
        GroupRecords records,
        AuditLog audit,
        InstantSource wallClock,
        RandomGenerator random) {}
