package reedmux.message;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import reedmux.net.Reactor;
import reedmux.net.Wire;

/**
 * The server's side of a connection with small calls, each read whole and answered whole, one at a time.
 * What it hands on is {@link Call}s, to be answered at any later time.
 */
public final class Calls implements Wire.Owner {
    private static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_BODY = 8 * 1024 * 1024;
    private static final long IDLE = 30_000_000;
    private final Reactor reactor;
    private final Wire wire;
    private final BiConsumer<Call, Calls> taken;
    private final HeadReader heads = new HeadReader(true);
    private Head head;
    private BodyReader body;
    private ByteArrayOutputStream bytes;
    private boolean asked;
    private boolean last;
    private long since;

    /** One call. */
    public record Call(Head head, byte[] body) {}

    public Calls(Reactor reactor, Wire wire, BiConsumer<Call, Calls> taken) {
        this.reactor = reactor;
        this.wire = wire;
        this.taken = taken;
        since = reactor.now();
        wire.owner(this);
        watch();
    }

    private void watch() {
        reactor.after(IDLE, () -> {
            if (wire.isOpen()) {
                if (!asked && reactor.now() - since > IDLE) {
                    wire.close();
                } else {
                    watch();
                }
            }
        });
    }

    @Override
    public void input() {
        try {
            while (!asked && !last && wire.isOpen()) {
                if (head == null) {
                    head = heads.read(wire, MOST_HEAD);
                    if (head == null) {
                        break;
                    }
                    body = BodyReader.ofRequest(head);
                    bytes = new ByteArrayOutputStream();
                    if (body.length() > MOST_BODY) {
                        throw new BadMessage(413, "the body is too large");
                    } else if (head.lists("Expect", "100-continue")) {
                        wire.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
                body.read(wire, piece -> bytes.write(piece, 0, piece.length));
                if (bytes.size() > MOST_BODY) {
                    throw new BadMessage(413, "the body is too large");
                } else if (!body.whole()) {
                    break;
                }
                asked = true;
                Call call = new Call(head, bytes.toByteArray());
                last = head.closes();
                head = null;
                bytes = null;
                taken.accept(call, this);
            }
        } catch (BadMessage e) {
            last = true;
            asked = true;
            answer(e.status(), "text/plain", e.getMessage() + '\n');
        }
        if (wire.isOpen() && wire.ended() && !asked) {
            wire.close();
        }
    }

    /**
     * Bytes as they are, in place of an answer: for stand-ins that misbehave. The connection ends with them.
     */
    public void raw(byte[] bytes) {
        last = true;
        wire.write(bytes);
        wire.endOutput();
        reactor.after(500_000, wire::close);
    }

    /** Bytes that nobody has asked for, beside the answers: for stand-ins that misbehave. */
    public void unasked(byte[] bytes) {
        if (wire.isOpen()) {
            wire.write(bytes);
        }
    }

    /** An answer of a type. */
    public void answer(int status, String type, String text) {
        answer(Head.answer(status).add("Content-Type", type), text.getBytes(StandardCharsets.UTF_8));
    }

    /** The answer to the call that was handed on last. */
    public void answer(Head answer, byte[] content) {
        if (!wire.isOpen()) {
            return;
        }
        answer.add("Content-Length", Integer.toString(content.length));
        if (last) {
            answer.add("Connection", "close");
        }
        byte[] first = answer.bytes();
        byte[] all = java.util.Arrays.copyOf(first, first.length + content.length);
        System.arraycopy(content, 0, all, first.length, content.length);
        wire.write(all);
        asked = false;
        since = reactor.now();
        if (last) {
            wire.endOutput();
            reactor.after(500_000, wire::close);
        } else if (wire.available() > 0) {
            reactor.execute(() -> {
                if (wire.isOpen()) {
                    input();
                }
            });
        }
    }

    /** An answer in JSON, or in plain text. */
    public void answer(int status, String json) {
        boolean told = json.startsWith("{");
        answer(status, told ? "application/json" : "text/plain", told ? json : json + '\n');
    }

    @Override
    public void closed(String why) {
        last = true;
    }
}
