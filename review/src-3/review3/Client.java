package review3;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one session. It sends one request at a time and waits for the answer. */
public final class Client implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final Socket socket = new Socket();
    private final BufferedReader in;

    /**
     * The answer to a request.
     *
     * @param result {@code COMPLETE} or {@code ERROR} and the code; empty if the connection ended before
     * @param isWhole whether the answer was complete
     */
    public record Answer(String result, boolean isWhole) {

        /** Returns whether the request succeeded. */
        public boolean isSuccess() {
            return isWhole && result.startsWith("COMPLETE");
        }
    }

    /** Opens a connection. */
    public Client(InetSocketAddress address, int receiveBuffer) throws IOException {
        try {
            socket.setReceiveBufferSize(receiveBuffer);
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), receiveBuffer);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sets how long to wait for the next line. */
    public void timeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Opens a session and returns the first line of the answer; empty if the connection ended. */
    public String connect(String route) throws IOException {
        timeout(2000);
        send("CONNECT " + route + " u1");
        String line = in.readLine();
        return line == null ? "" : line;
    }

    /** Sends a line. */
    public void send(String line) throws IOException {
        sendPart(line + "\r\n");
    }

    /** Sends a part of a line. */
    public void sendPart(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a statement and returns its answer. */
    public Answer query(String id, String text) throws IOException {
        send("QUERY " + id + " " + text);
        return answer();
    }

    /** Reads the answer to a request. */
    public Answer answer() throws IOException {
        String result = "";
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("READY ")) {
                return new Answer(result, true);
            }
            if (line.startsWith("COMPLETE ") || line.startsWith("ERROR ")) {
                result = line;
            }
        }
        return new Answer(result, false);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
