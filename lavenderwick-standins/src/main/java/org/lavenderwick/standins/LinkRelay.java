package org.lavenderwick.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;

/**
 * TCP relay in front of one address. Connections to the target leave from the IP address of their client, so that the
 * target sees the right block. A connection that has gone silent stays silent for good: it passes neither bytes nor the
 * end of the connection. Thread-safe; two threads a connection.
 */
public final class LinkRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Map<Integer, LinkRule> rules = new ConcurrentHashMap<>();
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    private LinkRelay(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    /**
     * Starts a relay.
     *
     * @param host IP address to listen on
     * @param port port to listen on; 0 for any free one
     * @param targetAddress IP address and port to forward to
     */
    public static LinkRelay start(String host, int port, String targetAddress) {
        HostAndPort target = HostAndPort.fromString(targetAddress);
        try {
            ServerSocket listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port));
            LinkRelay relay = new LinkRelay(listener, new InetSocketAddress(target.getHost(), target.getPort()));
            startThread(relay::accept);
            return relay;
        } catch (IOException e) {
            throw new IllegalStateException("the relay to " + targetAddress + " does not start", e);
        }
    }

    /** Returns IP address and port to connect to. */
    public String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Puts a rule in force for connections from 127.0.n.x. */
    public void rule(int block, LinkRule rule) {
        rules.put(block, rule);
        if (rule.mode() == LinkRule.Mode.SILENT) {
            silenceOpenConnections(block);
        }
    }

    /** Passes everything at once for new connections and for those that have not gone silent. */
    public void clearRules() {
        rules.clear();
    }

    /** Makes the connections that are open now from 127.0.n.x silent for good; new ones work. */
    public void silenceOpenConnections(int block) {
        links.stream().filter(link -> link.block == block).forEach(link -> link.silent = true);
    }

    /** Returns the number of connections that have not ended on both sides. */
    public int openLinks() {
        return links.size();
    }

    @Override
    public void close() {
        closed = true;
        closeQuietly(listener);
        links.forEach(Link::close);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket client = listener.accept();
                int block = StandinExchange.block((InetSocketAddress) client.getRemoteSocketAddress());
                LinkRule rule = rule(block);
                if (rule.mode() == LinkRule.Mode.REFUSED) {
                    // Ends the connection by a reset, as a refusing host does.
                    client.setSoLinger(true, 0);
                    client.close();
                } else {
                    Link link = new Link(client, block, rule.mode() == LinkRule.Mode.SILENT);
                    links.add(link);
                    startThread(link::open);
                }
            } catch (IOException e) {
                // The listener was closed, or a client left before it was accepted.
                continue;
            }
        }
    }

    private LinkRule rule(int block) {
        return rules.getOrDefault(block, LinkRule.OPEN);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "link-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // A socket that does not close has nothing left to release.
            return;
        }
    }

    private final class Link {

        private final Socket client;
        private final Socket server = new Socket();
        private final int block;
        private volatile boolean silent;

        Link(Socket client, int block, boolean silent) {
            this.client = client;
            this.block = block;
            this.silent = silent;
        }

        void open() {
            try {
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                InetAddress source = client.getInetAddress();
                server.bind(new InetSocketAddress(source, 0));
                server.connect(target);
            } catch (IOException e) {
                close();
                return;
            }
            startThread(() -> pump(server, client));
            pump(client, server);
        }

        /** Copies bytes until one side ends; drops them once the connection is silent. */
        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                int count = from.getInputStream().read(buffer);
                while (count >= 0) {
                    long delayNanos = rule(block).delay().toNanos();
                    if (delayNanos > 0) {
                        TimeUnit.NANOSECONDS.sleep(delayNanos);
                    }
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                    count = from.getInputStream().read(buffer);
                }
            } catch (IOException e) {
                // The connection ended; it is closed below.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (silent && !closed) {
                // The other side must not learn that this one has gone.
                closeQuietly(from);
            } else {
                close();
            }
            if (client.isClosed() && server.isClosed()) {
                links.remove(this);
            }
        }

        void close() {
            closeQuietly(client);
            closeQuietly(server);
            links.remove(this);
        }
    }
}
