package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import jdk.net.ExtendedSocketOptions;
import org.jboss.logging.Logger;

/**
 * A connection that carries lines, each ended by CR LF. Bytes map one to one to characters, so that any bytes pass
 * unchanged. Confined to the thread of its loop.
 */
final class LineConnection implements EventLoop.Handler {

    /** Longest line, without its end. */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** Bytes that may wait for a peer that does not read; a peer beyond it is cut off. */
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    /** Bytes taken from a peer ahead of the line that it waits for. */
    private static final int MAX_PAUSED_BYTES = 64 << 10;

    /** Idle time in seconds before a silent peer is probed, time between probes, and unanswered probes to a close. */
    private static final int KEEPALIVE_SECONDS = 1;

    private static final int KEEPALIVE_PROBES = 2;

    private static final Logger LOG = Logger.getLogger(LineConnection.class);

    private static final byte[] LINE_END = {'\r', '\n'};

    /** Reacts to what happens on the connection. */
    interface Listener {
        void onConnected();

        void onLine(String line);

        /** The connection has ended, for whatever reason; nothing follows. */
        void onClosed(String reason);

        /** A line is longer than allowed or contains a stray line end. The listener closes the connection. */
        void onMalformedLine(boolean tooLong);
    }

    private final EventLoop loop;
    private final SocketChannel channel;
    private final Listener listener;
    private SelectionKey key;
    private byte[] unread = new byte[0];
    private byte[] unsent = new byte[0];
    private int unsentBytes;
    private boolean paused;
    private boolean parsing;
    private boolean closing;
    private boolean closed;

    private LineConnection(EventLoop loop, SocketChannel channel, Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
    }

    static LineConnection accepted(EventLoop loop, SocketChannel channel, Listener listener) throws IOException {
        LineConnection connection = new LineConnection(loop, channel, listener);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
        return connection;
    }

    /** Starts to open a connection; the listener hears of its success or end. */
    static LineConnection connect(EventLoop loop, InetSocketAddress address, Listener listener) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        // Shows a connection that has gone silent while it waits idle.
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEPALIVE_SECONDS);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEPALIVE_SECONDS);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
        LineConnection connection = new LineConnection(loop, channel, listener);
        connection.key = loop.register(channel, SelectionKey.OP_CONNECT, connection);
        channel.connect(address);
        return connection;
    }

    @Override
    public void onReady(SelectionKey ready) throws IOException {
        if (ready.isConnectable()) {
            channel.finishConnect();
            key.interestOps(SelectionKey.OP_READ);
            listener.onConnected();
            // Lines may have been queued before the connection stood.
            loop.scheduleFlush(this);
        }
        if (!closed && ready.isWritable()) {
            flush();
        }
        if (!closed && ready.isReadable()) {
            read();
        }
    }

    @Override
    public void onFailure(String reason) {
        end(reason == null ? "the connection failed" : reason);
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.readBuffer();
        int count = channel.read(buffer);
        if (count < 0) {
            end("the peer closed the connection");
            return;
        }
        int length = unread.length;
        unread = Arrays.copyOf(unread, length + count);
        buffer.flip();
        buffer.get(unread, length, count);
        parse();
        updateInterest();
    }

    /** A paused peer may send on, but not without bound. */
    private void updateInterest() {
        if (closed || !channel.isConnected()) {
            return;
        }
        boolean reads = !closing && !(paused && unread.length > MAX_PAUSED_BYTES);
        key.interestOps((reads ? SelectionKey.OP_READ : 0) | (unsentBytes > 0 ? SelectionKey.OP_WRITE : 0));
    }

    /** Stops handing lines to the listener until {@link #resume}. */
    void pause() {
        paused = true;
    }

    /** Hands on the lines that have arrived meanwhile. */
    void resume() {
        paused = false;
        if (!parsing && !closed && unread.length > 0) {
            parse();
            updateInterest();
        }
    }

    private void parse() {
        parsing = true;
        int start = 0;
        while (!paused && !closed && !closing) {
            int end = lineEnd(start);
            if (end < 0) {
                break;
            }
            String line = new String(unread, start, end - start, StandardCharsets.ISO_8859_1);
            boolean legal = end + 1 < unread.length && unread[end] == '\r' && unread[end + 1] == '\n';
            start = legal ? end + 2 : unread.length;
            if (!legal || end - start > MAX_LINE_BYTES) {
                listener.onMalformedLine(legal);
                break;
            }
            listener.onLine(line);
        }
        unread = start == 0 ? unread : Arrays.copyOfRange(unread, Math.min(start, unread.length), unread.length);
        parsing = false;
        if (unread.length > MAX_LINE_BYTES + LINE_END.length && !paused && !closed && !closing) {
            listener.onMalformedLine(true);
        }
    }

    /** Returns where the next CR or LF stands that ends a line; -1 if the line is not complete. */
    private int lineEnd(int start) {
        for (int index = start; index < unread.length; index++) {
            if (unread[index] == '\n') {
                return index;
            }
            if (unread[index] == '\r') {
                return index + 1 < unread.length ? index : -1;
            }
        }
        return -1;
    }

    /** Queues a line; it is sent at the end of the current round of events. */
    void send(String line) {
        if (closed || closing) {
            return;
        }
        byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
        int needed = unsentBytes + bytes.length + LINE_END.length;
        if (needed > MAX_UNSENT_BYTES) {
            end("the peer does not read");
            return;
        }
        if (needed > unsent.length) {
            unsent = Arrays.copyOf(unsent, Math.max(needed, 2 * unsent.length));
        }
        System.arraycopy(bytes, 0, unsent, unsentBytes, bytes.length);
        System.arraycopy(LINE_END, 0, unsent, unsentBytes + bytes.length, LINE_END.length);
        unsentBytes = needed;
        loop.scheduleFlush(this);
    }

    void flush() {
        if (closed || !channel.isConnected()) {
            return;
        }
        try {
            if (unsentBytes > 0) {
                int sent = channel.write(ByteBuffer.wrap(unsent, 0, unsentBytes));
                unsentBytes -= sent;
                System.arraycopy(unsent, sent, unsent, 0, unsentBytes);
            }
            if (unsentBytes == 0) {
                unsent = new byte[0];
                if (closing) {
                    release();
                    return;
                }
            }
            updateInterest();
        } catch (IOException e) {
            onFailure(e.getMessage());
        }
    }

    /** Closes the connection once all queued lines are sent. The listener hears nothing more. */
    void closeAfterSending() {
        closing = true;
        loop.scheduleFlush(this);
    }

    /** Closes the connection at once. The listener hears nothing more. */
    void close() {
        release();
    }

    private void end(String reason) {
        if (!closed) {
            release();
            listener.onClosed(reason);
        }
    }

    private void release() {
        if (closed) {
            return;
        }
        closed = true;
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // The descriptor is released all the same.
            LOG.debugf("[session] Close failed: %s", e);
        }
    }
}
