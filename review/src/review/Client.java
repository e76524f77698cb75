package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client session. */
final class Client implements AutoCloseable {

    /** The response to a request: its lines, and how it ended. */
    record Answer(List<String> lines, String end) {
        /** Returns whether the whole response arrived. */
        boolean complete() {
            return end.equals("complete");
        }

        /** Returns whether the request succeeded. */
        boolean succeeded() {
            return complete() && lines.stream().anyMatch(line -> line.startsWith("COMPLETE"));
        }

        String brief() {
            String last = lines.isEmpty() ? "nothing" : lines.get(Math.max(0, lines.size() - 2));
            return end + ": " + (last.length() > 80 ? last.substring(0, 80) + "..." : last);
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(InetSocketAddress address, String database) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 2000);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
        Answer ready = exchange("CONNECT " + database + " client", 2000);
        if (ready.lines().stream().noneMatch(line -> line.startsWith("READY"))) {
            socket.close();
            throw new IOException("no session: " + ready.brief());
        }
    }

    /** Sends a statement and returns the response. */
    Answer query(String id, String text, int timeoutMs) throws IOException {
        return exchange("QUERY " + id + " " + text, timeoutMs);
    }

    private Answer exchange(String line, int timeoutMs) throws IOException {
        List<String> lines = new ArrayList<>();
        try {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            long end = System.nanoTime() + timeoutMs * 1_000_000L;
            while (System.nanoTime() < end) {
                String next = line();
                if (next == null) {
                    return new Answer(lines, "closed");
                }
                lines.add(next);
                if (next.startsWith("READY") || (lines.size() == 1 && line.startsWith("CONNECT"))) {
                    return new Answer(lines, "complete");
                }
            }
            return new Answer(lines, "deadline");
        } catch (SocketTimeoutException e) {
            return new Answer(lines, "deadline");
        } catch (IOException e) {
            return new Answer(lines, "broken off");
        }
    }

    private String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
