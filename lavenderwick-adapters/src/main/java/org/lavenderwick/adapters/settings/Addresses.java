package org.lavenderwick.adapters.settings;

import java.net.InetSocketAddress;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** Checks addresses as operators write them. Names are refused: the fleet communicates by IP address only. */
public final class Addresses {

    /** Largest port number. */
    public static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Returns whether the text is an IPv4 or IPv6 address. */
    public static boolean isIp(String text) {
        return InetAddresses.isInetAddress(text);
    }

    /** Returns whether the text is an IP address and a port from 1, as in {@code 127.0.1.1:9000} or {@code [::1]:9}. */
    public static boolean isIpAndPort(String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text).requireBracketsForIPv6();
            return parsed.hasPort() && parsed.getPort() >= 1 && isIp(parsed.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the address that a text of an IP address and a port stands for, without any name lookup. */
    public static InetSocketAddress socketAddress(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }

    /** Returns the text form of an IP address and a port, with brackets where IPv6 needs them. */
    public static String join(String ip, int port) {
        return HostAndPort.fromParts(ip, port).toString();
    }
}
