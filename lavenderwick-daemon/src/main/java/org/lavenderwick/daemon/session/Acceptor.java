package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

import org.jboss.logging.Logger;

/** A listening socket that hands each accepted connection to a handler. */
public final class Acceptor implements EventLoop.Handler {

    /** Length of the queue of connections not yet accepted; must hold a burst of reconnecting callers. */
    private static final int BACKLOG = 1024;

    private static final Logger LOG = Logger.getLogger(Acceptor.class);

    /** Takes over accepted connections. */
    interface ConnectionHandler {
        /** Takes over a connection; on an exception the acceptor closes it. */
        void handle(SocketChannel channel) throws IOException;
    }

    private final ServerSocketChannel server;
    private final ConnectionHandler handler;

    private Acceptor(ServerSocketChannel server, ConnectionHandler handler) {
        this.server = server;
        this.handler = handler;
    }

    private static Acceptor listen(EventLoop loop, InetSocketAddress address, ConnectionHandler handler)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, BACKLOG);
        Acceptor acceptor = new Acceptor(server, handler);
        loop.register(server, SelectionKey.OP_ACCEPT, acceptor);
        return acceptor;
    }

    /** Listens for connections of callers at an address. */
    public static void acceptSessions(EventLoop loop, InetSocketAddress address, SessionProxy proxy)
            throws IOException {
        Acceptor acceptor = listen(loop, address, channel -> {
            CallerConnection session = proxy.newSession();
            try {
                session.attach(LineConnection.accepted(loop, channel, session));
            } catch (IOException e) {
                proxy.onSessionEnded(session);
                throw e;
            }
        });
        proxy.gracefulStop().addSessionAcceptor(acceptor);
    }

    /** Listens for connections of other daemons at an address. */
    public static void acceptPeers(EventLoop loop, InetSocketAddress address, SessionProxy proxy) throws IOException {
        listen(loop, address, channel -> {
            IncomingPeerConnection peer = proxy.newPeerConnection();
            peer.attach(LineConnection.accepted(loop, channel, peer));
        });
    }

    /** Listens for readiness probes at an address. */
    public static void acceptReadinessProbes(EventLoop loop, InetSocketAddress address, ReadinessResponder readiness)
            throws IOException {
        listen(loop, address, channel -> readiness.handle(loop, channel));
    }

    /** Accepts the connections that have arrived, without waiting for the event loop to do so. */
    void acceptArrived() {
        try {
            accept();
        } catch (IOException e) {
            onFailure(e.getMessage());
        }
    }

    /** Closes the listening socket. Connections that arrive from now on are refused. */
    void close() {
        try {
            server.close();
        } catch (IOException e) {
            LOG.debugf("[session] Failed to close a listening socket: %s", e.getMessage());
        }
    }

    @Override
    public void onReady(SelectionKey key) throws IOException {
        accept();
    }

    private void accept() throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            try {
                handler.handle(channel);
            } catch (IOException e) {
                LOG.debugf("[session] Could not set up an accepted connection: %s; closing it.", e.getMessage());
                channel.close();
            }
        }
    }

    @Override
    public void onFailure(String reason) {
        LOG.errorf("[session] The listening socket failed to accept a connection: %s.", reason);
    }
}
