package org.lavenderwick.adapters.endpoint;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ConnectAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ConnectRequest;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;

class HttpEndpointPortDestinationsTest {

    private static final int CONNECTIONS = 50;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final JsonMapper mapper = EndpointMessages.createMapper();
    private final Set<String> tcpConnections = ConcurrentHashMap.newKeySet();
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);

    @BeforeEach
    void start() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new ConnectHandler());
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    /**
     * Guards against a daemon that keeps an object for each connection it ever closed, and against connections that
     * share a TCP connection.
     */
    @Test
    void closedConnectionsLeaveOneDestination() throws Exception {
        EndpointSettings endpoint = new EndpointSettings(
                EndpointName.of("e"), FailureDomain.of("f"), "127.0.0.1:" + connector.getLocalPort(), 20, 3);
        try (HttpEndpointPort port = HttpEndpointPort.create("127.0.0.1")) {
            for (int i = 0; i < CONNECTIONS; i++) {
                port.connect(endpoint, TIMEOUT)
                        .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                        .get()
                        .close();
            }

            assertThat(port.destinations()).isEqualTo(1);
            assertThat(tcpConnections).hasSize(CONNECTIONS);
        }
    }

    private final class ConnectHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            tcpConnections.add(request.getConnectionMetaData().getRemoteSocketAddress() + "/"
                    + System.identityHashCode(request.getConnectionMetaData().getConnection()));
            ConnectRequest connect = mapper.readValue(Content.Source.asInputStream(request), ConnectRequest.class);
            EndpointStatus status = new EndpointStatus(
                    EndpointName.of("e"), true, Term.of(1), Term.of(1), LogPoint.START, Instant.EPOCH, 0);
            byte[] answer = mapper.writeValueAsBytes(new ConnectAnswer(connect.requestId(), "c", status));
            response.write(true, ByteBuffer.wrap(answer), callback);
            return true;
        }
    }
}
