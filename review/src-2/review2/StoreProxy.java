package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Passes the store calls of one daemon on, one after the other on each connection, and tells of each answer. */
final class StoreProxy implements AutoCloseable {
    /** Is told of an answer before it is passed on; may delay it. */
    interface Listener {
        void onAnswer(String path, String body, int status);
    }

    private record Message(String head, byte[] body) {
        byte[] bytes() {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            return all.toByteArray();
        }
    }

    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress store;
    private final Listener listener;

    StoreProxy(InetSocketAddress store, Listener listener) throws IOException {
        this.store = store;
        this.listener = listener;
        start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                start(() -> pass(socket));
            }
        } catch (IOException e) {
            // The proxy was closed.
            return;
        }
    }

    private void pass(Socket socket) {
        try (socket; Socket target = new Socket()) {
            socket.setTcpNoDelay(true);
            target.connect(store, 1000);
            target.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            InputStream back = new BufferedInputStream(target.getInputStream());
            for (Message request = read(in); request != null; request = read(in)) {
                target.getOutputStream().write(request.bytes());
                Message answer = read(back);
                if (answer == null) {
                    return;
                }
                listener.onAnswer(
                        request.head().split(" ")[1],
                        new String(request.body(), StandardCharsets.UTF_8),
                        Integer.parseInt(answer.head().split(" ")[1]));
                socket.getOutputStream().write(answer.bytes());
            }
        } catch (IOException e) {
            // One of the sides has closed.
            return;
        }
    }

    /** Reads a message with its body; null at the end of the connection. */
    private static Message read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return new Message(head.toString(), in.readNBytes(length));
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
