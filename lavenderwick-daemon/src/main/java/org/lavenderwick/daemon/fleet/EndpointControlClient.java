package org.lavenderwick.daemon.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

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

/**
 * A client for control requests to endpoints. It keeps one connection of its own for each endpoint open until {@link
 * #close}. Confined to one thread.
 */
final class EndpointControlClient implements EndpointControl, AutoCloseable {

    /** Time to connect to an endpoint: many round trips, but short, as a failover tries a dead endpoint repeatedly. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(120);

    /** Time to wait for data of a response, which the endpoint may delay until it has a free slot. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(500);

    private static final Logger LOG = Logger.getLogger(EndpointControlClient.class);

    private final EndpointCodec codec;
    private final Map<EndpointName, Connection> connections = new HashMap<>();

    EndpointControlClient(EndpointCodec codec) {
        this.codec = codec;
    }

    @Override
    public Either<Failure, EndpointReport> status(EndpointEntry endpoint) {
        return exchange(endpoint, codec.status());
    }

    @Override
    public Either<Failure, EndpointReport> pauseReplication(EndpointEntry endpoint, long term) {
        return exchange(endpoint, codec.pause(term));
    }

    @Override
    public Either<Failure, EndpointReport> stepDown(EndpointEntry endpoint, long term) {
        return exchange(endpoint, codec.stepDown(term));
    }

    private Either<Failure, EndpointReport> exchange(EndpointEntry endpoint, String request) {
        try {
            Connection connection = connections.get(endpoint.name());
            if (connection == null) {
                connection = Connection.open(endpoint, codec);
                connections.put(endpoint.name(), connection);
            }
            return codec.parseReport(connection.exchange(request, codec));
        } catch (IOException e) {
            Connection broken = connections.remove(endpoint.name());
            if (broken != null) {
                broken.close();
            }
            return Either.left(Failure.of(
                    ErrorKind.NO_ELIGIBLE_ENDPOINT, "the endpoint " + endpoint.name() + " failed: " + e.getMessage()));
        }
    }

    @Override
    public void close() {
        connections.values().forEach(Connection::close);
        connections.clear();
    }

    /** An open connection to one endpoint. */
    private record Connection(Socket socket, BufferedReader reader) {

        static Connection open(EndpointEntry endpoint, EndpointCodec codec) throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(endpoint.address(), (int) CONNECT_TIMEOUT.toMillis());
                socket.setSoTimeout((int) RESPONSE_TIMEOUT.toMillis());
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(
                        socket,
                        new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
                connection.send(codec.connect(endpoint.group(), Optional.empty(), endpoint.name()));
                connection.readResponse(codec);
                return connection;
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        private void send(String line) throws IOException {
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Sends a request and returns the last row of the response; an empty string if the response has no row. */
        String exchange(String request, EndpointCodec codec) throws IOException {
            send(request);
            return readResponse(codec);
        }

        private String readResponse(EndpointCodec codec) throws IOException {
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
                } else if (message.get() instanceof EndpointMessage.Row dataRow) {
                    row = dataRow.content();
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
                // The file descriptor is released even if close fails.
                LOG.debugf("[fleet] Could not close the connection to an endpoint: %s", e);
            }
        }
    }
}
