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
 * A non-blocking TCP connection that transports lines terminated by CR LF. Lines are decoded as ISO 8859-1, which maps
 * each byte to one character, so that all bytes are preserved. Confined to the thread of its event loop.
 */
final class LineConnection implements EventLoop.Handler {

    /** Maximum length of a received line, without CR LF. */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** Maximum number of bytes queued for a peer that does not read; the connection is closed above it. */
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    /** Number of unparsed bytes above which a paused connection stops reading from its peer. */
    private static final int MAX_PAUSED_BYTES = 64 << 10;

    /** Idle time before the first keepalive probe, and the time between probes. */
    private static final int KEEPALIVE_SECONDS = 1;

    /** Number of unanswered keepalive probes after which the connection fails. */
    private static final int KEEPALIVE_PROBES = 2;

    private static final Logger LOG = Logger.getLogger(LineConnection.class);

    private static final byte[] LINE_END = {'\r', '\n'};

    /** A listener for the events of a connection. */
    interface Listener {
        /** The connection is established. Only called for connections that this daemon opens. */
        void onConnected();

        /** A complete line was received; the argument does not contain CR LF. */
        void onLine(String line);

        /** The connection was closed by the peer or has failed; no further event follows. */
        void onClosed(String reason);

        /**
         * A line is too long or contains a CR or LF that is not part of CR LF. The listener must close the connection.
         *
         * @param tooLong whether the line is too long
         */
        void onMalformedLine(boolean tooLong);
    }

    private final EventLoop loop;
    private final SocketChannel channel;
    private final Listener listener;
    private SelectionKey key;
    private byte[] unparsed = new byte[0];
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

    /** Returns a connection for a channel that was accepted from a server socket. */
    static LineConnection accepted(EventLoop loop, SocketChannel channel, Listener listener) throws IOException {
        LineConnection connection = new LineConnection(loop, channel, listener);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
        return connection;
    }

    /** Starts to open a connection, and reports the result to the listener. Lines may be sent at once. */
    static LineConnection connect(EventLoop loop, InetSocketAddress address, Listener listener) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        // Detects a peer that disappears while the connection is idle.
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
            // Lines may have been queued before the connection was established.
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
        closeAndNotify(reason == null ? "the connection failed without a reason" : reason);
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.readBuffer();
        int count = channel.read(buffer);
        if (count < 0) {
            closeAndNotify("the peer closed the connection");
            return;
        }
        int length = unparsed.length;
        unparsed = Arrays.copyOf(unparsed, length + count);
        buffer.flip();
        buffer.get(unparsed, length, count);
        parse();
        updateInterest();
    }

    /** Selects reading and writing as needed; a paused connection keeps reading only up to a limit. */
    private void updateInterest() {
        if (closed || !channel.isConnected()) {
            return;
        }
        boolean shouldRead = !closing && !(paused && unparsed.length > MAX_PAUSED_BYTES);
        key.interestOps((shouldRead ? SelectionKey.OP_READ : 0) | (unsentBytes > 0 ? SelectionKey.OP_WRITE : 0));
    }

    /** Stops passing lines to the listener until {@link #resume} is called. */
    void pause() {
        paused = true;
    }

    /** Resumes passing lines to the listener, starting with those received during the pause. */
    void resume() {
        paused = false;
        if (!parsing && !closed && unparsed.length > 0) {
            parse();
            updateInterest();
        }
    }

    private void parse() {
        parsing = true;
        int start = 0;
        while (!paused && !closed && !closing) {
            int end = lineEndIndex(start);
            if (end < 0) {
                break;
            }
            String line = new String(unparsed, start, end - start, StandardCharsets.ISO_8859_1);
            boolean endsWithCrLf = end + 1 < unparsed.length && unparsed[end] == '\r' && unparsed[end + 1] == '\n';
            start = endsWithCrLf ? end + 2 : unparsed.length;
            if (!endsWithCrLf || end - start > MAX_LINE_BYTES) {
                listener.onMalformedLine(endsWithCrLf);
                break;
            }
            listener.onLine(line);
        }
        unparsed =
                start == 0 ? unparsed : Arrays.copyOfRange(unparsed, Math.min(start, unparsed.length), unparsed.length);
        parsing = false;
        if (unparsed.length > MAX_LINE_BYTES + LINE_END.length && !paused && !closed && !closing) {
            listener.onMalformedLine(true);
        }
    }

    /** Returns the index of the next CR or LF; -1 if there is none yet or it is a CR whose next byte is missing. */
    private int lineEndIndex(int start) {
        for (int index = start; index < unparsed.length; index++) {
            if (unparsed[index] == '\n') {
                return index;
            }
            if (unparsed[index] == '\r') {
                return index + 1 < unparsed.length ? index : -1;
            }
        }
        return -1;
    }

    /** Queues a line, which is sent at the end of the current iteration of the event loop. */
    void send(String line) {
        if (closed || closing) {
            return;
        }
        byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
        int needed = unsentBytes + bytes.length + LINE_END.length;
        if (needed > MAX_UNSENT_BYTES) {
            closeAndNotify("the peer does not read: too many unsent bytes");
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

    /** Writes as many of the queued bytes as the socket accepts. */
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

    /**
     * Reads what has arrived and passes it to the listener, without waiting for the event loop to do so. Called before
     * an idle connection is closed, so that a request that has just arrived is answered and not cut off.
     */
    void readArrived() {
        if (closed || closing || !channel.isConnected()) {
            return;
        }
        try {
            read();
        } catch (IOException e) {
            onFailure(e.getMessage());
        }
    }

    /** Closes the connection once all queued lines are sent. The listener receives no further lines. */
    void closeAfterSending() {
        if (!closed) {
            closing = true;
            loop.onClosing(this);
            loop.scheduleFlush(this);
        }
    }

    /** Closes the connection immediately. The listener receives no further events. */
    void close() {
        release();
    }

    private void closeAndNotify(String reason) {
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
        loop.onClosed(this);
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // The file descriptor is released nevertheless.
            LOG.debugf("[session] Failed to close a connection cleanly; its file descriptor is released: %s", e);
        }
    }
}
