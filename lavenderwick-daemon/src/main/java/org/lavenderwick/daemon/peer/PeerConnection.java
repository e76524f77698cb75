package org.lavenderwick.daemon.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;
import org.lavenderwick.protocol.PeerService;

/**
 * A connection to a peer that knows whether any byte of the current call was handed to the network. A call that was
 * given up before its first byte is never sent. Thread-safe.
 */
final class PeerConnection extends TNonblockingSocket {
    private PeerService.AsyncClient client;
    private boolean sent;
    private boolean givenUp;

    private PeerConnection(String host, int port) throws IOException, TTransportException {
        super(host, port);
    }

    /** Returns an unconnected connection whose local end is bound to the given address. */
    static PeerConnection create(InetSocketAddress peer, InetAddress local) throws IOException, TTransportException {
        PeerConnection connection = new PeerConnection(peer.getAddress().getHostAddress(), peer.getPort());
        connection.getSocketChannel().bind(new InetSocketAddress(local, 0));
        return connection;
    }

    void attach(PeerService.AsyncClient asyncClient) {
        client = asyncClient;
    }

    PeerService.AsyncClient client() {
        return client;
    }

    /** Prepares the connection for its next call. */
    synchronized void nextCall() {
        sent = false;
    }

    /** Makes sure that no byte of the call is sent any more, and returns whether none was sent. */
    synchronized boolean giveUp() {
        givenUp = true;
        return !sent;
    }

    /** Gives the call up if no byte of it was sent, and returns whether it did. */
    synchronized boolean giveUpUnlessSent() {
        givenUp |= !sent;
        return !sent;
    }

    /** Returns whether an idle connection can take a call: the peer has neither closed it nor sent anything. */
    boolean usable() {
        try {
            return isOpen()
                    && getSocketChannel().isConnected()
                    && getSocketChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public synchronized int write(ByteBuffer buffer) throws TTransportException {
        if (givenUp) {
            throw new TTransportException(TTransportException.NOT_OPEN, "The call was given up.");
        }
        int written = super.write(buffer);
        sent |= written > 0;
        return written;
    }
}
