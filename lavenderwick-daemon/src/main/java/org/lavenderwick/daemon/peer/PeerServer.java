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

/** Serves the calls of peers without holding a thread while a call waits. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeerServer.class);
    /** Largest frame; a whole configuration with 1,100 groups takes less than 1 MB. */
    private static final int MAX_FRAME_BYTES = 8_000_000;

    /** Connections not yet accepted; with the default of 50, a burst of 100 connects met the send timeout of peers. */
    private static final int BACKLOG = 1_024;

    private static final int SELECTOR_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final int STOP_SECONDS = 2;

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

    /** Starts a server on the address; port 0 takes a free port. */
    public static PeerServer start(InetSocketAddress address, PeerHandler handler) throws TTransportException {
        TNonblockingServerSocket socket =
                new TNonblockingServerSocket(new TNonblockingServerSocket.NonblockingAbstractServerSocketArgs()
                        .bindAddr(address)
                        .backlog(BACKLOG));
        ExecutorService workers = Executors.newFixedThreadPool(WORKER_THREADS, threads("peer-worker-%d"));
        TThreadedSelectorServer.Args args = new TThreadedSelectorServer.Args(socket)
                .processor(new PeerService.AsyncProcessor<>(new Service(handler)))
                .protocolFactory(new TBinaryProtocol.Factory())
                .selectorThreads(SELECTOR_THREADS)
                .executorService(workers);
        args.maxReadBufferBytes = MAX_FRAME_BYTES;
        TThreadedSelectorServer server = new TThreadedSelectorServer(args);
        Thread acceptor = threads("peer-server-%d").newThread(server::serve);
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
            workers.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
            // The server thread ends when all connections are closed, so that peers learn of the end now.
            acceptor.join(TimeUnit.SECONDS.toMillis(STOP_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ThreadFactory threads(String format) {
        return new ThreadFactoryBuilder().setNameFormat(format).setDaemon(true).build();
    }

    private static <T> void answer(CompletableFuture<T> future, AsyncMethodCallback<T> callback) {
        future.whenComplete((result, error) -> {
            if (error == null) {
                callback.onComplete(result);
            } else {
                LOG.errorf(error, "[peer] A call failed.");
                callback.onError(error instanceof Exception ? (Exception) error : new IllegalStateException(error));
            }
        });
    }

    private static final class Service implements PeerService.AsyncIface {
        private final PeerHandler handler;

        Service(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        public void execute(RelayRequest request, AsyncMethodCallback<RelayResponse> callback) {
            answer(handler.execute(request), callback);
        }

        @Override
        public void exchange(ExchangeRequest request, AsyncMethodCallback<ExchangeResponse> callback) {
            answer(handler.exchange(request), callback);
        }
    }
}
