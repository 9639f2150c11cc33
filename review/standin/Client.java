import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client's connection, which it keeps for many requests. */
final class Client implements AutoCloseable {
    static final String HOST = "line.example";
    private final Lab lab;
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;
    /** Requests that were answered on this connection. */
    int answered;

    Client(Lab lab, InetSocketAddress to) throws IOException {
        this.lab = lab;
        socket.connect(to, 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        out = socket.getOutputStream();
    }

    /**
     * Sends a request and reads the whole answer.
     *
     * @return the answer; null if the connection ended without a whole answer
     * @throws SocketTimeoutException if there is no answer within the time that the client waits
     */
    Http.Message request(String id, String method, String path, byte[] body, int timeLeftMs) throws IOException {
        socket.setSoTimeout(timeLeftMs + 500);
        byte[] head = (method + ' ' + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nReedmux-Attempt-Id: " + id
                        + "\r\nReedmux-Time-Left-Ms: " + timeLeftMs + "\r\nAuthorization: Bearer key-of-first\r\n"
                        + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        lab.note("client: sends " + id + ' ' + method + ' ' + path + ", body " + (body == null ? 0 : body.length));
        Http.Message answer;
        try {
            out.write(head);
            if (body != null) {
                out.write(body);
            }
            out.flush();
            answer = Http.read(in);
        } catch (SocketTimeoutException e) {
            lab.note("client: " + id + " has no answer in time");
            throw e;
        } catch (IOException e) {
            answer = null;
        }
        if (answer == null) {
            lab.note("client: " + id + ": the connection is closed without an answer");
        } else {
            answered++;
            lab.note("client: " + id + " answered " + answer.status());
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
