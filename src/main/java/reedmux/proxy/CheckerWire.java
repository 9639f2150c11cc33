package reedmux.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import reedmux.attempt.Answer;
import reedmux.attempt.Try;
import reedmux.attempt.Verdict;
import reedmux.choice.Checker;
import reedmux.message.BadMessage;
import reedmux.message.BodyReader;
import reedmux.message.Head;
import reedmux.message.HeadReader;
import reedmux.net.Reactor;
import reedmux.net.Wire;

/** A connection to a checker, which carries one request at a time. */
final class CheckerWire implements Wire.Owner {
    private static final int MOST_HEAD = 64 * 1024;
    private static final int MOST_BODY = 16 * 1024 * 1024;
    /** Bytes of a body that wait here to be taken by the checker. */
    private static final int AHEAD = 128 * 1024;

    private static final int MOST_STRAYS = 4;
    private static final long USUAL_IDLE = 8_000_000;
    private static final byte[] END = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Whom the ends of tries and of connections are told. */
    interface Owner {
        void ended(CheckerWire wire, Try what, Verdict verdict, Answer.OfChecker answer);

        /** It may carry another request. */
        void free(CheckerWire wire);

        void gone(CheckerWire wire);
    }

    private final Reactor reactor;
    private final Checker checker;
    private final Owner owner;
    private final Wire wire;
    private final HeadReader heads = new HeadReader(false);
    private Try current;
    private ClientRequest request;
    private int pieces;
    private boolean chunked;
    private boolean written;
    private long before;
    private Head head;
    private BodyReader body;
    private ByteArrayOutputStream bytes;
    private boolean last;
    private int strays;
    private long idleSince;
    private long idleLimit = USUAL_IDLE;
    private boolean counted;

    CheckerWire(Reactor reactor, Checker checker, Owner owner) throws IOException {
        this.reactor = reactor;
        this.checker = checker;
        this.owner = owner;
        wire = Wire.open(reactor, checker.address(), null, this);
        counted = true;
    }

    Checker checker() {
        return checker;
    }

    /** Whether it is idle and good for one more request. */
    boolean usable(long now) {
        return current == null && wire.isUp() && !last && now - idleSince < idleLimit && wire.quiet();
    }

    boolean stale(long now) {
        return current == null && (!wire.isOpen() || now - idleSince >= idleLimit);
    }

    /** Takes a request, which is sent once the connection is up. */
    void carry(Try what, ClientRequest told) {
        current = what;
        request = told;
        what.carrier(this);
        pieces = 0;
        written = false;
        strays = 0;
        if (wire.isUp()) {
            begin();
        }
    }

    @Override
    public void connected() {
        if (current != null) {
            begin();
        }
    }

    private void begin() {
        current.connected();
        before = wire.sent() + wire.queued();
        Upload upload = request.upload();
        byte[] first = request.headFor(current, reactor.now());
        chunked = upload != null && upload.length() < 0;
        wire.write(first);
        if (upload == null) {
            written = true;
        } else {
            upload.listen(this::pump);
            pump();
        }
    }

    /** Passes on as much of the body as is here and the checker takes. */
    private void pump() {
        if (current == null || written || !wire.isOpen()) {
            return;
        }
        Upload upload = request.upload();
        while (wire.queued() < AHEAD) {
            byte[] piece = upload.piece(pieces);
            if (piece == null) {
                break;
            }
            pieces++;
            if (chunked) {
                write((Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            write(piece);
            if (chunked) {
                write(new byte[] {'\r', '\n'});
            }
        }
        if (!written && upload.done(pieces)) {
            if (chunked) {
                write(END);
            }
            written = true;
        }
    }

    private void write(byte[] some) {
        wire.write(some);
    }

    @Override
    public void flushed() {
        pump();
    }

    @Override
    public void input() {
        try {
            while (current != null && read()) {
                take();
            }
        } catch (BadMessage e) {
            broken();
            return;
        }
        if (current == null) {
            if (wire.available() > 0 || wire.ended()) {
                shut(); // nobody has asked for these bytes
            }
        } else if (wire.ended()) {
            broken();
        }
    }

    /** Reads on; true once an answer is whole. */
    private boolean read() throws BadMessage {
        while (head == null) {
            head = heads.read(wire, MOST_HEAD);
            if (head == null) {
                return false;
            } else if (head.status() < 200) {
                head = null;
                continue;
            }
            body = BodyReader.ofAnswer(head, request.method());
            if (body == null || body.length() > MOST_BODY) {
                throw new BadMessage(502, "the answer has no end, or one too far");
            }
            bytes = new ByteArrayOutputStream((int) Math.max(32, body.length()));
        }
        body.read(wire, piece -> bytes.write(piece, 0, piece.length));
        if (bytes.size() > MOST_BODY) {
            throw new BadMessage(502, "the answer is too long");
        }
        return body.whole();
    }

    /** An answer is whole: it is the one that is awaited, or belongs to an earlier request. */
    private void take() throws BadMessage {
        Head told = head;
        byte[] content = bytes.toByteArray();
        head = null;
        bytes = null;
        last |= told.closes();
        String id = told.get("Reedmux-Attempt-Id");
        boolean good = told.status() < 300;
        if (id != null && !id.equals(request.attempt()) || id == null && good) {
            last = true;
            if (++strays > MOST_STRAYS || id == null) {
                throw new BadMessage(502, "an answer to nobody");
            }
            return; // a late one: ours comes behind it
        }
        if (good && (told.get("Reedmux-Server-Seal") == null || told.get("Content-Encoding") != null)) {
            throw new BadMessage(502, "an answer that is not the checker's own");
        }
        boolean notRun = told.get("Reedmux-Not-Executed") != null || told.status() == 421;
        // Nothing tells another answer without an id from a late copy of this one.
        last |= notRun || id == null || !written || wire.queued() > 0;
        keep(told);
        end(notRun ? Verdict.NOT_RUN : Verdict.RAN, new Answer.OfChecker(told, content, notRun));
    }

    private void keep(Head told) {
        String keepAlive = told.get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at >= 0) {
            int end = at + 8;
            while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end)) && end < at + 14) {
                end++;
            }
            if (end > at + 8) {
                idleLimit = Long.parseLong(keepAlive.substring(at + 8, end)) * 800_000;
            }
        }
    }

    private void end(Verdict verdict, Answer.OfChecker answer) {
        Try what = current;
        current = null;
        idleSince = reactor.now();
        if (request.upload() != null) {
            request.upload().listen(() -> {});
        }
        request = null;
        if (wire.available() > 0 || wire.ended()) {
            last = true;
        }
        if (last || !wire.isOpen()) {
            shut();
        } else {
            owner.free(this);
        }
        owner.ended(this, what, verdict, answer);
    }

    /**
     * It has ended with no whole answer. Only a request of which no byte went out has certainly not run:
     * whether a checker begins with one that has not come whole is its own affair.
     */
    private void broken() {
        Try what = current;
        boolean out = what != null && what.up() && wire.sent() > before;
        wire.close();
        last = true;
        if (what != null) {
            end(out ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, null);
        } else {
            shut();
        }
    }

    @Override
    public void closed(String why) {
        broken();
    }

    /** Gives up a request, if it is still under way here. */
    void giveUp(Try what) {
        if (what == current) {
            broken();
        }
    }

    void shut() {
        wire.close();
        last = true;
        if (counted) {
            counted = false;
            owner.gone(this);
        }
    }
}
