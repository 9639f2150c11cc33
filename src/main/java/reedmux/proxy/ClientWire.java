package reedmux.proxy;

import java.util.Arrays;
import reedmux.attempt.Answer;
import reedmux.item.Bounds;
import reedmux.message.BadMessage;
import reedmux.message.BodyReader;
import reedmux.message.Head;
import reedmux.message.HeadReader;
import reedmux.net.Wire;

/** A client's connection, which has one request at a time. */
final class ClientWire implements Wire.Owner {
    private static final long SECOND = 1_000_000;
    /** A last answer has so long to be read before the connection is closed all the same. */
    private static final long LINGER = SECOND / 2;
    /** Of a body that nobody wants so much is read and thrown away; a longer one ends the connection. */
    private static final long MOST_DISCARDED = 1024 * 1024;

    private static final int TIMEOUT = 408;
    private static final int TOO_LARGE = 413;

    /** What a connection needs to know, and where its requests go. */
    interface Front {
        long now();

        /** Has something done in a later turn. */
        void soon(Runnable task);

        Bounds bounds();

        /** Whether answers are the last ones on their connections. */
        boolean leaving();

        /** Whether a request is to wait for the end of a start; then {@link #resume()} follows. */
        boolean park(ClientWire client, Head head);

        Proxy.Reading read(ClientWire client, Head head, Upload upload);

        void launch(ClientRequest request);

        /** Nobody waits for a request any more; {@code launched}: it was sent on, perhaps. */
        void left(ClientRequest request, boolean launched);

        void gone(ClientWire client);
    }

    private final Front proxy;
    private final Wire wire;
    private final HeadReader heads = new HeadReader(true);
    private ClientRequest request;
    private BodyReader body;
    private Upload upload;
    private boolean launched;
    private boolean answered;
    private boolean keep = true;
    private boolean closing;
    /** Since when it has been idle, reading a head, or closing. */
    private long since;

    private boolean reading;
    private long movedAt;
    /** How long it may rest, as its client was told: a bound that falls holds from the next answer on. */
    private long rest;
    /** A request that waits for what the proxy has to know, and when its head was whole. */
    private Head parked;

    private long headAt;

    ClientWire(Front proxy, Wire wire) {
        this.proxy = proxy;
        this.wire = wire;
        since = proxy.now();
        movedAt = since;
        rest = proxy.bounds().idleTime();
        wire.owner(this);
    }

    /** Whether no request is under way here. */
    boolean idle() {
        return request == null && body == null && parked == null && !closing;
    }

    /** When the head of the request that is under way was whole. */
    long headAt() {
        return headAt;
    }

    /** Goes on with a request that was parked, whether or not there is news. */
    void resume() {
        Head head = parked;
        if (head == null || !wire.isOpen()) {
            return;
        }
        parked = null;
        try {
            begin(head);
        } catch (BadMessage e) {
            fail(e);
            return;
        }
        input();
    }

    @Override
    public void input() {
        movedAt = proxy.now();
        try {
            while (wire.isOpen() && step()) {
                // one part of a message after the other
            }
        } catch (BadMessage e) {
            fail(e);
        }
        if (wire.isOpen() && wire.ended()) {
            leave();
        }
    }

    private boolean step() throws BadMessage {
        if (closing) {
            wire.skip(wire.available());
            return false;
        } else if (body != null) {
            return readBody();
        } else if (request != null || parked != null) {
            wire.pause(wire.available() > 64 * 1024); // what comes now is for later
            return false;
        }
        Head head = heads.read(wire, proxy.bounds().headerBytes());
        if (head == null) {
            if (!reading && wire.available() > 0) {
                reading = true;
                since = proxy.now();
            }
            return false;
        }
        reading = false;
        headAt = proxy.now();
        if (proxy.park(this, head)) {
            parked = head;
            return false;
        }
        begin(head);
        return true;
    }

    private void begin(Head head) throws BadMessage {
        body = BodyReader.ofRequest(head);
        keep = !head.closes();
        answered = false;
        launched = false;
        upload = body.whole() && head.get("Content-Length") == null ? null : new Upload(body.length());
        Proxy.Reading read = proxy.read(this, head, upload);
        request = read.request();
        if (request == null) {
            upload = null;
            if (body.length() < 0 || body.length() > MOST_DISCARDED) {
                keep = false;
            }
            answer(read.refusal());
        } else if (head.lists("Expect", "100-continue") && !body.whole()) {
            wire.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
        if (upload != null) {
            upload.onRoom(this::goOn);
        }
    }

    /** There is room for more of the body; until now it was we who held it up. */
    private void goOn() {
        movedAt = proxy.now();
        wire.pause(false);
    }

    private boolean readBody() throws BadMessage {
        BodyReader reader = body;
        Upload to = upload;
        reader.read(wire, piece -> {
            if (to != null && !answered) {
                to.take(piece);
            }
        });
        if (reader.taken() > proxy.bounds().bodyBytes()) {
            throw new BadMessage(
                    TOO_LARGE, "the body is larger than " + proxy.bounds().bodyBytes() + " bytes");
        } else if (answered && reader.taken() > MOST_DISCARDED && !reader.whole()) {
            closeSoon();
            return false;
        }
        if (reader.whole()) {
            body = null;
            if (to != null && !answered) {
                to.end();
            }
            if (answered) {
                next();
            }
        } else if (to != null && !answered && to.full()) {
            wire.pause(true);
        }
        if (request != null && !launched && !answered && (to == null || to.ready())) {
            launched = true;
            proxy.launch(request);
        }
        return reader.whole();
    }

    /** The one answer to a request, if it is still the one that is under way here. */
    void answer(ClientRequest to, Answer answer) {
        if (to == request) {
            answer(answer);
        }
    }

    private void answer(Answer answer) {
        if (answered || !wire.isOpen() || closing) {
            return;
        }
        answered = true;
        boolean last = !keep || proxy.leaving();
        byte[] content;
        Head out;
        boolean headOnly = request != null && request.method().equals("HEAD");
        if (answer instanceof Answer.OfChecker told) {
            out = Head.answer(told.head().status());
            for (int i = 0; i < told.head().size(); i++) {
                if (!told.head().ofConnection(told.head().name(i))) {
                    out.add(told.head().name(i), told.head().value(i));
                }
            }
            content = told.body();
            String length = told.head().get("Content-Length");
            if (headOnly && length != null) {
                out.add("Content-Length", length);
            }
        } else {
            Answer.Own own = (Answer.Own) answer;
            out = Head.answer(own.status()).add("Content-Type", "text/plain");
            if (own.retryAfter() >= 0) {
                out.add("Retry-After", seconds(own.retryAfter()));
            }
            if (request != null) {
                out.add("Reedmux-Attempt-Id", request.attempt());
            }
            content = (own.text() + '\n').getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }
        if (!headOnly && out.status() != 204 && out.status() != 304) {
            out.add("Content-Length", Integer.toString(content.length));
        }
        if (last) {
            out.add("Connection", "close");
        } else {
            rest = proxy.bounds().idleTime();
            out.add("Keep-Alive", "timeout=" + Math.max(1, rest / SECOND - 1));
        }
        byte[] first = out.bytes();
        byte[] all = headOnly ? first : Arrays.copyOf(first, first.length + content.length);
        if (!headOnly) {
            System.arraycopy(content, 0, all, first.length, content.length);
        }
        wire.write(all);
        upload = null;
        if (last) {
            closeSoon();
        } else if (body == null) {
            next();
        } else {
            wire.pause(false);
        }
    }

    /** Seconds with three decimals, rounded up. */
    private static String seconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    /** The answer is out and its request read: on to the next one. */
    private void next() {
        request = null;
        upload = null;
        since = proxy.now();
        movedAt = since;
        wire.pause(false);
        if (wire.available() > 0) {
            proxy.soon(() -> {
                if (wire.isOpen() && request == null) {
                    input();
                }
            });
        }
    }

    private void closeSoon() {
        closing = true;
        request = null;
        body = null;
        upload = null;
        since = proxy.now();
        if (wire.queued() == 0) {
            wire.endOutput();
        }
        wire.pause(false);
    }

    @Override
    public void flushed() {
        if (closing) {
            wire.endOutput();
        }
    }

    private void fail(BadMessage bad) {
        ClientRequest was = answered ? null : request; // one that has its answer has its end
        boolean out = launched;
        keep = false;
        answer(new Answer.Own(bad.status(), bad.getMessage(), -1));
        if (!closing) {
            wire.close();
            proxy.gone(this);
        }
        if (was != null) {
            proxy.left(was, out);
        }
    }

    /** The client has ended the connection. */
    private void leave() {
        ClientRequest was = request;
        boolean out = launched && !answered;
        parked = null;
        wire.close();
        proxy.gone(this);
        if (was != null && !answered) {
            proxy.left(was, out);
        }
    }

    @Override
    public void closed(String why) {
        leave();
    }

    /** Closes it if its time is up; {@code closesIdle}: at once where it waits for nothing. */
    void look(long now, boolean closesIdle) {
        Bounds bounds = proxy.bounds();
        if (closing) {
            if (now - since > LINGER && (wire.queued() == 0 || now - since > 10 * SECOND)) {
                wire.close();
                proxy.gone(this);
            }
        } else if (reading) {
            if (now - since > bounds.headerTime()) {
                fail(new BadMessage(TIMEOUT, "the head has not come in time"));
            }
        } else if (body != null && !answered) {
            if (now - movedAt > bounds.idleTime() && !(upload != null && upload.full())) {
                if (launched) {
                    leave();
                } else {
                    fail(new BadMessage(TIMEOUT, "the body has not come in time"));
                }
            }
        } else if (request == null
                && body == null
                && parked == null
                && (now - since > Math.max(rest, bounds.idleTime()) || closesIdle && wire.available() == 0)) {
            wire.close();
            proxy.gone(this);
        }
    }

    int held() {
        return upload == null ? 0 : upload.held();
    }
}
