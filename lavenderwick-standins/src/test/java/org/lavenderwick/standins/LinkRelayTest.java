package org.lavenderwick.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;

import com.google.common.net.HostAndPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.lavenderwick.standins.TestFleet.until;

class LinkRelayTest {

    private ServerSocket target;
    private LinkRelay relay;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getByName("127.0.9.1"));
        relay = LinkRelay.start("127.0.9.1", 0, "127.0.9.1:" + target.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        relay.close();
        target.close();
    }

    private Socket connect(int block) throws IOException {
        HostAndPort address = HostAndPort.fromString(relay.address());
        Socket socket =
                new Socket(address.getHost(), address.getPort(), InetAddress.getByName("127.0." + block + ".1"), 0);
        socket.setSoTimeout((int) TestFleet.PATIENCE.toMillis());
        return socket;
    }

    /** Guards against a relay that hides the source block or loses bytes, also with a delay. */
    @Test
    void bytesPassBothWaysFromTheSourceAddress() throws IOException {
        relay.rule(2, LinkRule.delayed(Duration.ofMillis(5)));
        try (Socket client = connect(2);
                Socket server = target.accept()) {
            assertThat(server.getInetAddress().getHostAddress()).isEqualTo("127.0.2.1");
            client.getOutputStream().write(7);
            assertThat(server.getInputStream().read()).isEqualTo(7);
            server.getOutputStream().write(8);
            assertThat(client.getInputStream().read()).isEqualTo(8);
            client.close();
            assertThat(server.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Guards against a silent connection that recovers or tells the other side of its end. */
    @Test
    void silentConnectionStaysSilentWhileNewOnesWork() throws Exception {
        try (Socket silent = connect(2);
                Socket silentServer = target.accept();
                Socket other = connect(3);
                Socket otherServer = target.accept()) {
            relay.silenceOpenConnections(2);
            silent.getOutputStream().write(7);
            silent.close();
            try (Socket fresh = connect(2);
                    Socket freshServer = target.accept()) {
                fresh.getOutputStream().write(8);
                assertThat(freshServer.getInputStream().read()).isEqualTo(8);
            }
            other.getOutputStream().write(9);
            assertThat(otherServer.getInputStream().read()).isEqualTo(9);
            until(() -> relay.openLinks() == 2);
            assertThat(silentServer.getInputStream().available()).isZero();
            silentServer.setSoTimeout(100);
            assertThatThrownBy(() -> silentServer.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        }
    }

    /** Guards against a refusing link that lets new connections through. */
    @Test
    void refusedConnectionEndsAtOnce() throws IOException {
        relay.rule(2, LinkRule.REFUSED);
        try (Socket refused = connect(2)) {
            assertThatThrownBy(() -> {
                        if (refused.getInputStream().read() < 0) {
                            throw new IOException("the connection ended");
                        }
                    })
                    .isInstanceOf(IOException.class)
                    .isNotInstanceOf(SocketTimeoutException.class);
        }
    }
}
