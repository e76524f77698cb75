package org.lavenderwick.daemon.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.jboss.logging.Logger;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.PeerService;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/** An RPC server for the calls of peers. A call that waits for its result occupies no thread. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    /** Maximum total size of the request frames being read; a configuration with 1,100 groups takes less than 1 MB. */
    private static final int MAX_READ_BUFFER_BYTES = 8_000_000;

    /**
     * Maximum number of connections waiting to be accepted. With the default of 50, some connections of a burst of 100
     * ran into the send timeout of the peers.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    private static final int SELECTOR_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final int STOP_TIMEOUT_SECONDS = 2;

    private final TThreadedSelectorServer server;
    private final ExecutorService workers;
    private final Thread acceptor;
    private final int port;

    private PeerServer(TThreadedSelectorServer server, ExecutorService workers, Thread acceptor, int port) {
        this.server = server;
        this.workers = workers;
        this.acceptor = acceptor;
        this.port = port;
    }

    /** Starts a server that listens on the address; if its port is 0, the server picks a free port. */
    public static PeerServer start(InetSocketAddress address, PeerHandler handler) throws TTransportException {
        TNonblockingServerSocket socket =
                new TNonblockingServerSocket(new TNonblockingServerSocket.NonblockingAbstractServerSocketArgs()
                        .bindAddr(address)
                        .backlog(ACCEPT_BACKLOG));
        ExecutorService workers = Executors.newFixedThreadPool(WORKER_THREADS, threadFactory("peer-worker-%d"));
        TThreadedSelectorServer.Args args = new TThreadedSelectorServer.Args(socket)
                .processor(new PeerService.AsyncProcessor<>(new RpcService(handler)))
                .protocolFactory(new TBinaryProtocol.Factory())
                .selectorThreads(SELECTOR_THREADS)
                .executorService(workers);
        args.maxReadBufferBytes = MAX_READ_BUFFER_BYTES;
        TThreadedSelectorServer server = new TThreadedSelectorServer(args);
        Thread acceptor = threadFactory("peer-server-%d").newThread(server::serve);
        acceptor.start();
        return new PeerServer(server, workers, acceptor, socket.getPort());
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return port;
    }

    @Override
    public void close() {
        server.stop();
        workers.shutdown();
        try {
            workers.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            // The server thread ends once all connections are closed; waiting for it lets peers detect the close now.
            acceptor.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ThreadFactory threadFactory(String nameFormat) {
        return new ThreadFactoryBuilder()
                .setNameFormat(nameFormat)
                .setDaemon(true)
                .build();
    }

    private static <T> void respond(CompletableFuture<T> future, AsyncMethodCallback<T> callback) {
        future.whenComplete((result, error) -> {
            if (error == null) {
                callback.onComplete(result);
            } else {
                LOG.errorf(error, "[peer] Failed to handle a call of a peer; responding with an error.");
                callback.onError(error instanceof Exception ? (Exception) error : new IllegalStateException(error));
            }
        });
    }

    private static final class RpcService implements PeerService.AsyncIface {
        private final PeerHandler handler;

        RpcService(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        public void execute(RelayRequest request, AsyncMethodCallback<RelayResponse> callback) {
            respond(handler.execute(request), callback);
        }

        @Override
        public void exchange(ExchangeRequest request, AsyncMethodCallback<ExchangeResponse> callback) {
            respond(handler.exchange(request), callback);
        }
    }
}
