package org.lavenderwick.daemon.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.EndpointControl;
import org.lavenderwick.core.failover.EndpointReport;
import org.lavenderwick.core.model.EndpointName;

/** Orders to endpoints over connections of their own, which are kept until {@link #close}. Confined to one thread. */
final class EndpointOrders implements EndpointControl, AutoCloseable {

    /** Longest time to reach an endpoint: many round trips, yet short, as a dead one is asked in every round. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(120);

    /** Longest time for an answer, which may wait for a slot. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    private static final Logger LOG = Logger.getLogger(EndpointOrders.class);

    private final EndpointCodec codec;
    private final Map<EndpointName, Channel> channels = new HashMap<>();

    EndpointOrders(EndpointCodec codec) {
        this.codec = codec;
    }

    @Override
    public Either<Failure, EndpointReport> status(EndpointEntry endpoint) {
        return ask(endpoint, codec.status());
    }

    @Override
    public Either<Failure, EndpointReport> pauseReplication(EndpointEntry endpoint, long term) {
        return ask(endpoint, codec.pause(term));
    }

    @Override
    public Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term) {
        return ask(endpoint, codec.stepDown(term));
    }

    private Either<Failure, EndpointReport> ask(EndpointEntry endpoint, String order) {
        try {
            Channel channel = channels.get(endpoint.name());
            if (channel == null) {
                channel = Channel.open(endpoint, codec);
                channels.put(endpoint.name(), channel);
            }
            return codec.parseReport(channel.exchange(order, codec));
        } catch (IOException e) {
            Channel broken = channels.remove(endpoint.name());
            if (broken != null) {
                broken.close();
            }
            return Either.left(Failure.of(
                    ErrorKind.NO_ELIGIBLE_ENDPOINT, "the endpoint " + endpoint.name() + " failed: " + e.getMessage()));
        }
    }

    @Override
    public void close() {
        channels.values().forEach(Channel::close);
        channels.clear();
    }

    /** One open connection. */
    private record Channel(Socket socket, BufferedReader reader) {

        static Channel open(EndpointEntry endpoint, EndpointCodec codec) throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(endpoint.address(), (int) CONNECT_TIMEOUT.toMillis());
                socket.setSoTimeout((int) ANSWER_TIMEOUT.toMillis());
                socket.setTcpNoDelay(true);
                Channel channel = new Channel(
                        socket,
                        new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
                channel.send(codec.connect(endpoint.group(), endpoint.name()));
                channel.readToEnd(codec);
                return channel;
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        private void send(String line) throws IOException {
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Sends an order and returns the row of its answer. */
        String exchange(String order, EndpointCodec codec) throws IOException {
            send(order);
            return readToEnd(codec);
        }

        private String readToEnd(EndpointCodec codec) throws IOException {
            String row = "";
            String error = null;
            while (true) {
                String line = reader.readLine();
                if (line == null) {
                    throw new IOException(error == null ? "the connection ended" : error);
                }
                Either<Failure, EndpointMessage> message = codec.parse(line);
                if (message.isLeft()) {
                    throw new IOException(message.getLeft().detail());
                } else if (message.get() instanceof EndpointMessage.Row found) {
                    row = found.content();
                } else if (message.get() instanceof EndpointMessage.Error failed) {
                    error = failed.error() + " " + failed.detail();
                } else if (message.get() instanceof EndpointMessage.Ready) {
                    if (error != null) {
                        throw new IOException(error);
                    }
                    return row;
                }
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The descriptor is released all the same.
                LOG.debugf("[fleet] Close failed: %s", e);
            }
        }
    }
}
