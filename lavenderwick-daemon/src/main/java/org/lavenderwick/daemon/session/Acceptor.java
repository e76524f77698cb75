package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

import org.jboss.logging.Logger;

/** A listening socket. */
public final class Acceptor implements EventLoop.Handler {

    /** Connections that may wait to be accepted; a burst of reconnecting callers must fit. */
    private static final int BACKLOG = 1024;

    private static final Logger LOG = Logger.getLogger(Acceptor.class);

    /** Takes over an accepted connection. */
    interface Taker {
        void accepted(SocketChannel channel) throws IOException;
    }

    private final ServerSocketChannel server;
    private final Taker taker;

    private Acceptor(ServerSocketChannel server, Taker taker) {
        this.server = server;
        this.taker = taker;
    }

    private static void listen(EventLoop loop, InetSocketAddress address, Taker taker) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, BACKLOG);
        loop.register(server, SelectionKey.OP_ACCEPT, new Acceptor(server, taker));
    }

    /** Accepts callers' sessions at an address. */
    public static void acceptSessions(EventLoop loop, InetSocketAddress address, SessionProxy proxy)
            throws IOException {
        listen(loop, address, channel -> {
            CallerConnection session = proxy.newSession(false);
            session.attach(LineConnection.accepted(loop, channel, session));
        });
    }

    /** Accepts the connections of other daemons at an address. */
    public static void acceptPeers(EventLoop loop, InetSocketAddress address, SessionProxy proxy) throws IOException {
        listen(loop, address, channel -> {
            PeerConnection peer = proxy.newPeerConnection();
            peer.attach(LineConnection.accepted(loop, channel, peer));
        });
    }

    /** Answers questions for readiness at an address. */
    public static void acceptReadinessProbes(EventLoop loop, InetSocketAddress address, ReadinessResponder readiness)
            throws IOException {
        listen(loop, address, channel -> readiness.accepted(loop, channel));
    }

    @Override
    public void onReady(SelectionKey key) throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            try {
                taker.accepted(channel);
            } catch (IOException e) {
                LOG.debugf("[session] An accepted connection ended at once: %s.", e.getMessage());
                channel.close();
            }
        }
    }

    @Override
    public void onFailure(String reason) {
        LOG.errorf("[session] A connection could not be accepted: %s.", reason);
    }
}
