package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * A link to one address, which can be cut and narrowed. Bytes on a cut link are held and arrive after the cut, unless
 * their sender resets the connection.
 */
final class Link {

    private static final int WINDOW = 32 << 10;

    private final InetSocketAddress target;
    private final ServerSocket server = new ServerSocket();
    private boolean cut;
    private long bytesPerSecond;

    Link(InetSocketAddress target) throws IOException {
        this.target = target;
        server.setReceiveBufferSize(WINDOW);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    synchronized void cut(boolean value) {
        cut = value;
        notifyAll();
    }

    /** Limits how many bytes a second go to the one who connects; 0 for no limit. */
    synchronized void narrow(long limit) {
        bytesPerSecond = limit;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "link");
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void awaitWhole() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private synchronized long limit() {
        return bytesPerSecond;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = server.accept();
                near.setTcpNoDelay(true);
                start(() -> connect(near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        try {
            Direction out = new Direction(near, false);
            start(out::read);
            awaitWhole();
            Socket far = new Socket();
            far.setReceiveBufferSize(WINDOW);
            far.setTcpNoDelay(true);
            far.connect(target, 2000);
            Direction back = new Direction(far, true);
            start(back::read);
            start(() -> out.write(far));
            start(() -> back.write(near));
        } catch (IOException | InterruptedException e) {
            close(near);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }

    /** The bytes that one side sends to the other. */
    private final class Direction {
        private final Socket from;
        private final boolean narrowed;
        private final Deque<byte[]> held = new ArrayDeque<>();
        private long heldBytes;
        private boolean ended;
        private boolean reset;

        private Direction(Socket from, boolean narrowed) {
            this.from = from;
            this.narrowed = narrowed;
        }

        private void read() {
            byte[] buffer = new byte[16 << 10];
            try {
                for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream().read(buffer)) {
                    synchronized (this) {
                        held.add(Arrays.copyOf(buffer, count));
                        heldBytes += count;
                        notifyAll();
                        while (heldBytes > WINDOW) {
                            wait();
                        }
                    }
                }
                synchronized (this) {
                    ended = true;
                    notifyAll();
                }
            } catch (IOException | InterruptedException e) {
                synchronized (this) {
                    // What a sender that resets its connection has sent and the link still holds is lost.
                    held.clear();
                    reset = true;
                    ended = true;
                    notifyAll();
                }
            }
        }

        private void write(Socket to) {
            try {
                OutputStream out = to.getOutputStream();
                while (true) {
                    byte[] next;
                    synchronized (this) {
                        while (held.isEmpty() && !ended) {
                            wait();
                        }
                        next = held.poll();
                    }
                    awaitWhole();
                    if (next == null) {
                        break;
                    }
                    out.write(next);
                    if (narrowed && limit() > 0) {
                        Thread.sleep(Math.max(1, next.length * 1000L / limit()));
                    }
                    synchronized (this) {
                        heldBytes -= next.length;
                        notifyAll();
                    }
                }
                if (reset) {
                    to.setSoLinger(true, 0);
                    to.close();
                } else {
                    to.shutdownOutput();
                }
            } catch (IOException | InterruptedException e) {
                close(from);
            }
        }
    }
}
