package reedmux.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import reedmux.link.Messages.Hello;
import reedmux.link.Messages.Ping;
import reedmux.net.Reactor;
import reedmux.net.Wire;

/**
 * A connection between two of the system's own processes: frames of a length and a message. Each side says
 * something at least each {@link #PACE}, and one that is silent for {@link #SILENCE} is given up.
 */
public final class Link implements Wire.Owner {
    static final int MOST = 16 * 1024 * 1024;
    private static final int LENGTH = 4;
    /** Of whoever has not said who it is no more than this is taken in. */
    private static final int MOST_HELLO = 64 * 1024;

    private static final long PACE = 700_000;
    public static final long SILENCE = 2_200_000;
    /** More than this that waits to go out means that the other side does not read. */
    private static final long MOST_WAITING = 32L * 1024 * 1024;

    /** Whom a link's events are told. */
    public interface Owner {

        /** The other side has said who it is. */
        void up(Link link);

        void told(Link link, Object message);

        /** It is gone; told once, also of one that was never up. */
        void down(Link link);
    }

    private final Reactor reactor;
    private final Codec codec;
    private final Hello self;
    private final Owner owner;
    private Wire wire;
    private Hello other;
    private boolean over;
    private long heardAt;
    private long saidAt;
    /** What the owner keeps with it. */
    private Object note;

    private Link(Reactor reactor, Codec codec, Hello self, Owner owner) {
        this.reactor = reactor;
        this.codec = codec;
        this.self = self;
        this.owner = owner;
        heardAt = reactor.now();
        watch();
    }

    /** One that somebody else has opened. */
    public static Link of(Reactor reactor, Codec codec, Hello self, Wire wire, Owner owner) {
        Link link = new Link(reactor, codec, self, owner);
        link.wire = wire;
        wire.owner(link);
        link.connected();
        return link;
    }

    public static Link open(Reactor reactor, Codec codec, Hello self, InetSocketAddress to, Owner owner)
            throws IOException {
        Link link = new Link(reactor, codec, self, owner);
        link.wire = Wire.open(reactor, to, null, link);
        return link;
    }

    private void watch() {
        reactor.after(PACE, () -> {
            if (over) {
                return;
            }
            if (isStale()) {
                close();
                return;
            }
            if (wire != null && wire.isUp() && reactor.now() - saidAt >= PACE) {
                say(new Ping());
            }
            watch();
        });
    }

    /**
     * Whether the other side has given us up, so that what waits here was said in another time: a process
     * that was frozen finds it before its timers run.
     */
    private boolean isStale() {
        return reactor.now() - heardAt > SILENCE;
    }

    /** When the other side was heard last. */
    public long heardAt() {
        return heardAt;
    }

    /** Who is at the other end; null before it is up. */
    public Hello other() {
        return other;
    }

    /** Whether the connection itself has not come up yet. */
    public boolean connecting() {
        return !over && !wire.isUp();
    }

    public boolean isUp() {
        return other != null && !over && !isStale();
    }

    @SuppressWarnings("unchecked")
    public <T> T note() {
        return (T) note;
    }

    public void note(Object kept) {
        note = kept;
    }

    @Override
    public void connected() {
        say(self);
    }

    public void say(Object message) {
        if (over) {
            return;
        }
        send(codec.write(message));
    }

    /** Says a message that has been written already, as it goes to many. */
    public void send(byte[] bytes) {
        if (over) {
            return;
        }
        saidAt = reactor.now();
        wire.write(ByteBuffer.allocate(LENGTH + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .flip());
        if (wire.queued() > MOST_WAITING) {
            reactor.execute(this::close);
        }
    }

    @Override
    public void input() {
        if (isStale()) {
            close();
            return;
        }
        heardAt = reactor.now();
        while (!over && wire.available() >= LENGTH) {
            int length = (wire.peek(0) & 0xFF) << 24
                    | (wire.peek(1) & 0xFF) << 16
                    | (wire.peek(2) & 0xFF) << 8
                    | wire.peek(3) & 0xFF;
            if (length <= 0 || length > MOST || other == null && length > MOST_HELLO) {
                refuse("a length of " + length + " is no frame's");
                return;
            } else if (wire.available() < LENGTH + length) {
                break;
            }
            wire.skip(LENGTH);
            byte[] frame = wire.take(length);
            Object message = codec.read(frame);
            if (message == null) {
                refuse("a frame of " + length + " bytes of kind " + frame[0] + " cannot be read");
                return;
            }
            take(message);
        }
        if (!over && wire.ended()) {
            close();
        }
    }

    private void take(Object message) {
        if (message instanceof Hello hello && other == null && hello.form() == Messages.FORM) {
            other = hello;
            reactor.note("link with " + hello.program() + " of " + hello.node() + " is up");
            owner.up(this);
        } else if (other == null && message instanceof Hello hello) {
            refuse(hello.program() + " of " + hello.node() + " speaks form " + hello.form() + ", here "
                    + Messages.FORM);
        } else if (other == null || message instanceof Hello) {
            refuse(other == null ? "a message before it said who it is" : "it says again who it is");
        } else if (!(message instanceof Ping)) {
            owner.told(this, message);
        }
    }

    /** What has come cannot be acted on: a line for operators, and the end of this link alone. */
    private void refuse(String what) {
        String who = other == null ? "somebody" : other.program() + " of " + other.node();
        reactor.complain(who + what, "link with " + who + " at " + wire.remote() + " is ended: " + what);
        close();
    }

    @Override
    public void closed(String why) {
        close();
    }

    /** Ends it; its owner is told. */
    public void close() {
        if (!over) {
            over = true;
            if (other != null) {
                reactor.note("link with " + other.program() + " of " + other.node() + " is down");
            }
            if (wire != null) {
                wire.close();
            }
            owner.down(this);
        }
    }
}
