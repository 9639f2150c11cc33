import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that the stand-ins speak. */
final class Http {
    private Http() {}

    /** A head and, where it was read, the body. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        boolean closes() {
            return "close".equalsIgnoreCase(headers.get("Connection"));
        }
    }

    /** Reads a head; null at a clean end before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in, true);
        if (line == null) {
            return null;
        }
        message.firstLine = line;
        for (line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a message with its body; null at a clean end before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message);
        }
        return message;
    }

    static byte[] readBody(InputStream in, Message message) throws IOException {
        String length = message.headers.get("Content-Length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new EOFException("the body ends early");
            }
            return body;
        }
        if (!"chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            return new byte[0];
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("a chunk ends early");
            }
            body.writeBytes(chunk);
            readLine(in, false);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("a head ends early");
            } else if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    /** One call on a connection of its own; returns the status. */
    static int call(InetSocketAddress to, String method, String path, String body, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                    + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + content.length
                            + "\r\n")
                    + "\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(content);
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new EOFException("no answer");
            }
            return answer.status();
        }
    }
}
