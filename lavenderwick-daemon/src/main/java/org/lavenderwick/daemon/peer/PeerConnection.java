package org.lavenderwick.daemon.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;
import org.lavenderwick.protocol.PeerService;

/**
 * A connection to a peer that tracks whether any byte of the current call has been written to the socket. A call that
 * is aborted before its first byte is never sent. Thread-safe.
 */
final class PeerConnection extends TNonblockingSocket {
    private PeerService.AsyncClient client;
    private boolean anyByteSent;
    private boolean aborted;

    private PeerConnection(String host, int port) throws IOException, TTransportException {
        super(host, port);
    }

    /** Returns a connection that is bound to the local address but not connected yet. */
    static PeerConnection create(InetSocketAddress peerAddress, InetAddress localAddress)
            throws IOException, TTransportException {
        PeerConnection connection =
                new PeerConnection(peerAddress.getAddress().getHostAddress(), peerAddress.getPort());
        connection.getSocketChannel().bind(new InetSocketAddress(localAddress, 0));
        return connection;
    }

    void setClient(PeerService.AsyncClient newClient) {
        client = newClient;
    }

    PeerService.AsyncClient client() {
        return client;
    }

    /** Resets the record of sent bytes; invoked before each call. */
    synchronized void beginCall() {
        anyByteSent = false;
    }

    /** Prevents any further byte from being sent, and returns whether no byte of the call was sent. */
    synchronized boolean abort() {
        aborted = true;
        return !anyByteSent;
    }

    /** Aborts the call if no byte of it was sent, and returns whether it did so. */
    synchronized boolean abortIfUnsent() {
        aborted |= !anyByteSent;
        return !anyByteSent;
    }

    /**
     * Returns whether this idle connection can be used for another call: it is open, and the peer has neither closed it
     * nor sent unexpected data. Consumes a byte if there is one.
     */
    boolean isReusable() {
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
        if (aborted) {
            throw new TTransportException(
                    TTransportException.NOT_OPEN, "The call was aborted before it was sent completely.");
        }
        int written = super.write(buffer);
        anyByteSent |= written > 0;
        return written;
    }
}
