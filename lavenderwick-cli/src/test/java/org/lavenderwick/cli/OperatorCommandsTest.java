package org.lavenderwick.cli;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.operator.OperatorHandler;
import org.lavenderwick.adapters.operator.OperatorServer;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorCommandsTest {

    private final RecordingHandler handler = new RecordingHandler();
    private final OperatorServer server;
    private final String address;

    OperatorCommandsTest() throws Exception {
        server = OperatorServer.start(new InetSocketAddress("127.0.0.1", 0), handler);
        address = "127.0.0.1:" + server.port();
    }

    @AfterEach
    void stop() {
        server.close();
    }

    /** Guards against a status that is cut or changed on its way to the operator. */
    @Test
    void statusShowsTheAnswer() {
        CommandRun run = CommandRun.of("status", "--operator-address", address);

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(String.join("", run.out())).contains("\"configurationVersion\" : 7");
    }

    /** Guards against an order that reports success without reaching the daemon. */
    @Test
    void drainReachesTheDaemon() {
        assertThat(CommandRun.of("drain", "--operator-address", address).code()).isEqualTo(ExitCode.DONE);
        assertThat(handler.drained).isTrue();
    }

    /** Guards against an order for another group or endpoint than the operator named. */
    @Test
    void promoteNamesGroupAndTarget() {
        CommandRun run =
                CommandRun.of("promote", "--operator-address", address, "--group", "orders", "--target", "orders-yura");

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).containsExactly("ordered orders Optional[orders-yura]");
    }

    /** Guards against a refusal that is taken for success, and against a refusal without its reason. */
    @Test
    void showsTheReasonOfARefusal() {
        CommandRun run = CommandRun.of("promote", "--operator-address", address, "--group", "unknown");

        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).singleElement().asString().contains("status 404: No such group.");
    }

    /** Guards against a stack trace when the daemon is gone. */
    @Test
    void failsWhenTheDaemonIsGone() {
        server.close();

        CommandRun run = CommandRun.of("status", "--operator-address", address);
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).singleElement().asString().contains("does not answer");
    }

    private static final class RecordingHandler implements OperatorHandler {

        private volatile boolean drained;

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public Object status() {
            return Map.of("configurationVersion", 7);
        }

        @Override
        public String metrics() {
            return "";
        }

        @Override
        public void drain() {
            drained = true;
        }

        @Override
        public CompletableFuture<Either<Failure, String>> promote(GroupName group, Optional<EndpointName> target) {
            return CompletableFuture.completedFuture(
                    group.value().equals("orders")
                            ? Either.right("ordered " + group + " " + target)
                            : Either.left(Failure.of(ErrorKind.UNKNOWN_GROUP, "No such group.")));
        }
    }
}
