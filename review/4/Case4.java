import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** UNASKED: another client's request is sent to a checker where the rest of an upload's body is due. */
final class Case4 {
    private static final int PIECE = 16 * 1024;
    /** The bodies are longer than what the kernel's buffers hold of a connection whose receiver does not read: by how much. */
    private static final int FIRST_EXCESS = 64 * 1024;

    private static final int STEP = 24 * 1024;
    private static final int UPLOADS = 32;
    private static final int RECEIVE_BUFFER = 64 * 1024;
    /** How much of a body the checker has yet to read when it answers. */
    private static final int UNREAD_AT_ANSWER = 640 * 1024;

    private static final Map<String, byte[]> SENT = new ConcurrentHashMap<>();
    private static final AtomicInteger FOREIGN = new AtomicInteger();

    public static void main(String[] arguments) {
        Rig.main(arguments, 1, 64, Case4::play);
    }

    static boolean play(Rig rig, boolean trouble) throws Exception {
        rig.startAll();
        Checker checker = new Checker(rig, "i-early", rig.core.get(0).ip, RECEIVE_BUFFER, "intake", "hall-a", (self, request, socket, in, out) ->
                trouble && request.path.startsWith("/up/") ? serveEarly(rig, self, request, in, out) : serveWhole(rig, self, request, in, out));
        int status = rig.change(Rig.apply(Rig.plant("intake", 1), Rig.saturation(1),
                Rig.route("r-up", 1, "up.example", "/up/", "inflow", "intake", 10_000),
                Rig.route("r-order", 1, "up.example", "/order/", "effectful", "intake", 2000),
                Rig.tenant("t1", 1, "key-one", 0, 0), Rig.tenant("t2", 1, "key-two", 0, 0)), 20);
        if (status != 200) {
            throw new Rig.CouldNotRun("the configuration was not taken: " + status);
        }
        rig.awaitAllReady();
        int held = heldByKernel(rig.core.get(0).ip);
        rig.note("the kernel holds " + held + " bytes of a connection whose receiver does not read");
        int unanswered = 0;
        int uploads = 0;
        for (int n = 1; n <= UPLOADS; n++) {
            String id = "up-" + n;
            byte[] body = new byte[held + FIRST_EXCESS + (n - 1) * STEP];
            for (int i = 0; i < body.length; i++) {
                body[i] = (byte) (128 + (i * 31 + i / PIECE + n) % 100);
            }
            SENT.put(id, body);
            Rig.Answer answer = post(rig, "/up/" + n, id, "key-one", body, 10_000);
            rig.note("client 1: " + id + ", " + body.length + " bytes -> " + (answer == null ? "no answer" : answer.status + " " + answer.text()));
            uploads += answer != null && answer.status == 200 ? 1 : 0;
            byte[] order = ("order " + n + " of tenant t2").getBytes(StandardCharsets.ISO_8859_1);
            SENT.put("order-" + n, order);
            answer = post(rig, "/order/" + n, "order-" + n, "key-two", order, 700);
            rig.note("client 2: order-" + n + " -> " + (answer == null ? "no answer" : answer.status + " " + answer.text()));
            unanswered += answer == null || answer.status != 200 ? 1 : 0;
        }
        checker.close();
        rig.note(uploads + " of " + UPLOADS + " uploads were answered 200; " + FOREIGN.get() + " times the checker got other bytes in a body; "
                + unanswered + " orders without a success");
        if (uploads < UPLOADS / 2) {
            throw new Rig.CouldNotRun("too few uploads were answered");
        }
        return FOREIGN.get() == 0;
    }

    private static boolean serveWhole(Rig rig, Checker self, Checker.Request request, InputStream in, OutputStream out) throws IOException {
        byte[] body = Rig.readBody(in, request.headers);
        rig.note("checker: runs " + request.id() + " with " + body.length + " bytes");
        compare(rig, request.id(), body, body.length);
        self.answer(out, request, 200, "", "done " + request.id());
        return true;
    }

    /** Reads late, answers before the whole body was read, keeps the connection and reads on. */
    private static boolean serveEarly(Rig rig, Checker self, Checker.Request request, InputStream in, OutputStream out) throws IOException {
        Checker.sleep(1500);
        int length = Integer.parseInt(request.headers.get("content-length"));
        byte[] body = new byte[length];
        int read = in.readNBytes(body, 0, Math.max(0, length - UNREAD_AT_ANSWER));
        rig.note("checker: runs " + request.id() + ", answers after " + read + " of " + length + " bytes, and reads on");
        self.answer(out, request, 200, "", "done " + request.id());
        while (read < length) {
            int count = in.read(body, read, length - read);
            if (count < 0) {
                rig.note("checker: the connection ends after " + read + " bytes of " + request.id());
                compare(rig, request.id(), body, read);
                return false;
            }
            if (compare(rig, request.id(), body, read + count)) {
                return false;
            }
            read += count;
        }
        return true;
    }

    /** Compares the first bytes of a body with what was sent; returns whether they differ. */
    private static boolean compare(Rig rig, String id, byte[] body, int length) {
        byte[] sent = SENT.get(id);
        for (int i = 0; i < length; i++) {
            if (i >= sent.length || body[i] != sent[i]) {
                FOREIGN.incrementAndGet();
                ByteArrayOutputStream text = new ByteArrayOutputStream();
                text.write(body, i, Math.min(70, length - i));
                rig.note("checker: in the body of " + id + ", from byte " + i + " on, comes: "
                        + text.toString(StandardCharsets.ISO_8859_1).replace("\r\n", " | "));
                return true;
            }
        }
        return false;
    }

    /** Writes to a connection that nobody reads until nothing more is taken for a while; returns the number of bytes. */
    private static int heldByKernel(String ip) throws IOException, InterruptedException {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(RECEIVE_BUFFER);
            listener.bind(new InetSocketAddress(ip, 0));
            try (SocketChannel channel = SocketChannel.open(listener.getLocalSocketAddress()); Socket unread = listener.accept()) {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.configureBlocking(false);
                int held = 0;
                for (int idle = 0; idle < 20; idle++) {
                    int count = channel.write(ByteBuffer.allocate(PIECE));
                    held += count;
                    idle = count > 0 ? 0 : idle;
                    if (count == 0) {
                        Thread.sleep(20);
                    }
                }
                return held;
            }
        }
    }

    private static Rig.Answer post(Rig rig, String path, String id, String key, byte[] body, int timeLeftMs) {
        try (Socket socket = new Socket()) {
            socket.connect(rig.front(0), 1000);
            socket.setSoTimeout(timeLeftMs + 1000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST " + path + " HTTP/1.1\r\nHost: up.example\r\nReedmux-Attempt-Id: " + id + "\r\nReedmux-Time-Left-Ms: "
                    + timeLeftMs + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < body.length; i += PIECE) {
                out.write(body, i, Math.min(PIECE, body.length - i));
                if (i / PIECE % 4 == 0 && body.length > PIECE) {
                    Thread.sleep(2);
                }
            }
            return Rig.readAnswer(socket.getInputStream(), "POST");
        } catch (IOException e) {
            rig.note("client: " + id + ": " + e);
            return null;
        } catch (InterruptedException e) {
            return null;
        }
    }
}
