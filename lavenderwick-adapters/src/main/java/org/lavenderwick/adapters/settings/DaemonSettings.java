package org.lavenderwick.adapters.settings;

import java.util.List;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * Settings of one daemon, checked by {@link DaemonSettingsLoader}.
 *
 * @param daemon name of the daemon, unique in the fleet
 * @param failureDomain failure domain in which the daemon stands
 * @param address own IP address; the daemon listens on it and binds its outgoing connections to it
 * @param callerPort port for callers; 0 lets the system choose, as for the other ports
 * @param operatorPort port for operators
 * @param peerPort port for other daemons
 * @param platformAddress IP address and port of the platform
 * @param peers IP addresses and peer ports of a few other daemons, asked for the configuration at start; may be empty
 * @param trafficThreads number of threads that handle requests
 * @param maxRequestBytes largest request body that callers may send
 * @param logFormat form of the log
 * @param timeouts time bounds
 */
public record DaemonSettings(
        DaemonName daemon,
        FailureDomain failureDomain,
        String address,
        int callerPort,
        int operatorPort,
        int peerPort,
        String platformAddress,
        List<String> peers,
        int trafficThreads,
        int maxRequestBytes,
        LogFormat logFormat,
        Timeouts timeouts) {

    /** Number of traffic threads where the settings state none; an entry host is small. */
    public static final int DEFAULT_TRAFFIC_THREADS = 8;

    /** Largest request body where the settings state none, in bytes. */
    public static final int DEFAULT_MAX_REQUEST_BYTES = 1 << 20;

    /** Copies the list. */
    public DaemonSettings {
        peers = ImmutableList.copyOf(peers);
    }

    /** Returns the IP address and port of the own peer service. */
    public String peerAddress() {
        return Addresses.join(address, peerPort);
    }
}
