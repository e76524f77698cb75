package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A session of a client. */
final class Session implements AutoCloseable {
    /**
     * The answer to a request.
     *
     * @param row the last row; empty if there is none
     * @param result the COMPLETE or ERROR line; null if the connection ended before the answer was complete
     * @param state the state of the session
     */
    record Answer(String row, String result, String state) {
        boolean isComplete() {
            return result != null;
        }

        boolean succeeded() {
            return isComplete() && result.startsWith("COMPLETE");
        }
    }

    private final Socket socket = new Socket();
    private final BufferedReader in;

    /** Opens a session; fails if it is refused. */
    Session(InetSocketAddress address, String database) throws IOException {
        socket.connect(address, 2000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(2000);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        send("CONNECT " + database + " u1");
        String line = in.readLine();
        if (line == null || !line.startsWith("READY")) {
            socket.close();
            throw new IOException("no session: " + line);
        }
        socket.setSoTimeout(20_000);
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request and waits for the answer; one without a result means that the connection ended. */
    Answer query(String id, String text) {
        String row = "";
        String result = null;
        try {
            send("QUERY " + id + " " + text);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("READY ")) {
                    return new Answer(row, result, line.split(" ")[1]);
                } else if (line.startsWith("ROW ")) {
                    row = line.substring(4);
                } else {
                    result = line;
                }
            }
        } catch (IOException e) {
            return new Answer(row, null, "-");
        }
        return new Answer(row, null, "-");
    }

    /** Returns whether the other side has closed the connection while no request is outstanding. */
    boolean isClosed() {
        try {
            socket.setSoTimeout(1);
            boolean closed = in.read() < 0;
            socket.setSoTimeout(20_000);
            return closed;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
