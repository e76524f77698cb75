package org.lavenderwick.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One HTTP request at a stand-in, with the ways in which its answer can go wrong. At most one ending takes effect. */
final class StandinExchange {

    /** Puts a second answer behind the one that the client has read. */
    private static final Duration SECOND_ANSWER_DELAY = Duration.ofMillis(20);

    /** The socket of a request without answer is given back after this time, as clients have long given up. */
    private static final Duration SILENT_SOCKET_EXPIRY = Duration.ofMinutes(2);

    private static final int DRAIN_BYTES = 4096;

    /** Loopback addresses carry the block of the failure domain in their third byte, as in 127.0.2.10. */
    private static final int BLOCK_BYTE = 2;

    private final StandinRuntime runtime;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final AtomicBoolean ended = new AtomicBoolean();

    StandinExchange(StandinRuntime runtime, Request request, Response response, Callback callback) {
        this.runtime = runtime;
        this.request = request;
        this.response = response;
        this.callback = callback;
    }

    String method() {
        return request.getMethod();
    }

    /** Returns the path as sent, still percent-encoded. */
    String path() {
        return request.getHttpURI().getPath();
    }

    Fields query() {
        return Request.extractQueryParameters(request);
    }

    Connection connection() {
        return request.getConnectionMetaData().getConnection();
    }

    String sourceAddress() {
        SocketAddress remote = request.getConnectionMetaData().getRemoteSocketAddress();
        return remote instanceof InetSocketAddress inet ? inet.getAddress().getHostAddress() : remote.toString();
    }

    /** Returns n of a source address 127.0.n.x. */
    int sourceBlock() {
        SocketAddress remote = request.getConnectionMetaData().getRemoteSocketAddress();
        return remote instanceof InetSocketAddress inet ? block(inet) : 0;
    }

    static int block(InetSocketAddress address) {
        return address.getAddress().getAddress()[BLOCK_BYTE] & 0xff;
    }

    CompletableFuture<byte[]> body(int maxBytes) {
        return Content.Source.asByteArrayAsync(request, maxBytes);
    }

    /** Answers with a JSON body, or without body if it is null. */
    void answer(int status, Object body) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        byte[] bytes = json(body);
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    /** Sends two answers, then drops what arrives until the client closes the connection. */
    void answerTwice(Object first, Object second) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        EndPoint endPoint = connection().getEndPoint();
        ByteBuffer later = rawAnswer(json(second));
        endPoint.write(
                Callback.from(
                        () -> {
                            awaitClose(endPoint);
                            // An answer in the same segment as the first one is discarded by the HTTP client.
                            runtime.schedule(() -> endPoint.write(Callback.NOOP, later), SECOND_ANSWER_DELAY);
                        },
                        failure -> endPoint.close()),
                rawAnswer(json(first)));
    }

    /** Sends the head and the first half of an answer, then closes the connection. */
    void answerCutShort(Object body) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        byte[] bytes = json(body);
        ByteBuffer whole = rawAnswer(bytes);
        whole.limit(whole.limit() - (bytes.length + 1) / 2);
        EndPoint endPoint = connection().getEndPoint();
        endPoint.write(Callback.from(endPoint::close, failure -> endPoint.close()), whole);
    }

    /** Never answers, and does not notice when the client closes the connection, as behind a dead link. */
    void silence() {
        if (ended.compareAndSet(false, true)) {
            EndPoint endPoint = connection().getEndPoint();
            runtime.timer().schedule(() -> endPoint.close(), SILENT_SOCKET_EXPIRY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Never answers, but closes the connection as soon as the client does. */
    void loseAnswer() {
        if (ended.compareAndSet(false, true)) {
            awaitClose(connection().getEndPoint());
        }
    }

    /** The server does not read from a connection while a request is under way, so this method may. */
    private static void awaitClose(EndPoint endPoint) {
        endPoint.fillInterested(Callback.from(
                () -> {
                    if (drained(endPoint)) {
                        endPoint.close();
                    } else {
                        awaitClose(endPoint);
                    }
                },
                failure -> endPoint.close()));
    }

    /** Drops what has arrived and returns whether the client has closed the connection. */
    private static boolean drained(EndPoint endPoint) {
        ByteBuffer buffer = ByteBuffer.allocate(DRAIN_BYTES).limit(0);
        try {
            int count = endPoint.fill(buffer);
            while (count > 0) {
                buffer.limit(0);
                count = endPoint.fill(buffer);
            }
            return count < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Closes the connection without answer. */
    void disconnect() {
        if (ended.compareAndSet(false, true)) {
            connection().getEndPoint().close();
        }
    }

    private byte[] json(Object body) {
        try {
            return body == null ? new byte[0] : runtime.mapper().writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an answer has no JSON form", e);
        }
    }

    private static ByteBuffer rawAnswer(byte[] body) {
        byte[] head = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(head.length + body.length)
                .put(head)
                .put(body)
                .flip();
    }
}
