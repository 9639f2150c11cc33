package reedmux.lab.stage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import reedmux.message.BadMessage;
import reedmux.message.BodyReader;
import reedmux.message.Head;
import reedmux.message.HeadReader;
import reedmux.net.Reactor;
import reedmux.net.Wire;

/** One call over a connection of its own, as checkers, operators and clients make it. */
public final class Asker implements Wire.Owner {
    private static final int MOST_HEAD = 16 * 1024;
    private static final long PATIENCE = 3_000_000;

    /** What came of it; the status is 0 where no answer came. */
    public interface Done {
        /** {@code head} is null where no answer came. */
        void told(int status, Head head, String text);
    }

    private final Wire wire;
    private final HeadReader heads = new HeadReader(false);
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final Done done;
    private Head head;
    private BodyReader body;
    private boolean over;

    Asker(Reactor reactor, InetSocketAddress to, byte[] request, Done done) throws IOException {
        this(reactor, to, request, PATIENCE, done);
    }

    /** {@code patience}: how long an answer is waited for, in microseconds. */
    public Asker(Reactor reactor, InetSocketAddress to, byte[] request, long patience, Done done) throws IOException {
        this.done = done;
        wire = Wire.open(reactor, to, null, this);
        wire.write(request);
        reactor.after(patience, () -> end(0, "no answer"));
    }

    public static byte[] post(String path, String body) {
        return request("POST", path, "control", body);
    }

    /** {@code headers} are further lines, each with its end. */
    public static byte[] request(String method, String path, String host, String body, String... headers) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + String.join("", headers)
                + (method.equals("GET") ? "" : "Content-Length: " + content.length + "\r\n") + "\r\n";
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + content.length);
        System.arraycopy(content, 0, all, first.length, content.length);
        return all;
    }

    @Override
    public void connected() {}

    @Override
    public void input() {
        try {
            if (head == null) {
                head = heads.read(wire, MOST_HEAD);
                body = head == null ? null : BodyReader.ofAnswer(head, "GET");
            }
            if (head != null && body != null) {
                body.read(wire, piece -> bytes.write(piece, 0, piece.length));
                if (body.whole()) {
                    end(head.status(), bytes.toString(StandardCharsets.UTF_8));
                    return;
                }
            }
        } catch (BadMessage e) {
            end(0, e.getMessage());
        }
        if (wire.ended()) {
            end(0, "cut off");
        }
    }

    private void end(int status, String text) {
        if (!over) {
            over = true;
            wire.close();
            done.told(status, status == 0 ? null : head, text);
        }
    }

    @Override
    public void closed(String why) {
        end(0, why);
    }
}
