package reedmux.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * A TCP connection of a {@link Reactor}: what has come in and is not used yet, and what waits to go out.
 * For the reactor's thread alone.
 */
public final class Wire implements Environment.Handler {
    private static final byte[] EMPTY = {};
    private static final int LEAST = 1024;

    /** Whom a connection's events are told. */
    public interface Owner {

        /** It is up. */
        default void connected() {}

        /** More has come in, or the other side has ended it. */
        void input() throws IOException;

        /** All that waited has gone out. */
        default void flushed() throws IOException {}

        /** It is gone, and not by our {@link #close()}; told once. */
        void closed(String why);
    }

    private final Reactor reactor;
    private final Environment.Line line;
    private Owner owner;
    private byte[] in = EMPTY;
    private int from;
    private int to;
    private boolean ended;
    private boolean paused;
    private boolean closed;
    private boolean up;
    private final Deque<ByteBuffer> out = new ArrayDeque<>();
    private long queued;
    private long sent;

    private Wire(Reactor reactor, Environment.Line line) {
        this.reactor = reactor;
        this.line = line;
    }

    /** One that has been accepted. */
    static Wire accepted(Reactor reactor, Environment.Line line) throws IOException {
        Wire wire = new Wire(reactor, line);
        wire.up = true;
        line.handle(reactor.guarded(wire));
        return wire;
    }

    /** Opens one; {@code owner} hears when it is up, or that it has not come up. */
    public static Wire open(Reactor reactor, InetSocketAddress to, InetSocketAddress local, Owner owner)
            throws IOException {
        Environment.Line line = reactor.environment().open(to, local);
        Wire wire = new Wire(reactor, line);
        wire.owner = owner;
        line.handle(reactor.guarded(wire));
        if (line.upAtOnce()) {
            reactor.execute(wire::finish);
        }
        return wire;
    }

    private void finish() {
        if (!closed && !up) {
            up = true;
            interest();
            owner.connected();
        }
    }

    public void owner(Owner told) {
        owner = told;
    }

    /** Who is at the other end, for people to read. */
    public String remote() {
        return line.remote();
    }

    public boolean isOpen() {
        return !closed;
    }

    public boolean isUp() {
        return up && !closed;
    }

    @Override
    public void ready(boolean readable, boolean writable) throws IOException {
        if (closed) {
            return;
        } else if (!up) {
            if (line.finish()) {
                finish();
            }
            return;
        }
        if (readable) {
            read();
        }
        if (!closed && writable) {
            flush();
            if (!closed && queued == 0) {
                owner.flushed();
            }
        }
    }

    private void read() throws IOException {
        ByteBuffer chunk = reactor.chunk.clear();
        int some = line.read(chunk);
        if (some < 0) {
            ended = true;
            interest();
        } else if (some > 0) {
            room(some);
            chunk.flip().get(in, to, some);
            to += some;
        }
        if (some != 0) {
            owner.input();
            trim();
        }
    }

    /**
     * Whether nothing has come in that nobody asked for, and it has not been ended: looked up at the
     * socket, as the reactor may not have been round yet.
     */
    public boolean quiet() {
        if (closed || ended || available() > 0) {
            return false;
        }
        try {
            ByteBuffer chunk = reactor.chunk.clear();
            return line.read(chunk) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    private void room(int some) {
        if (in.length - to >= some) {
            return;
        }
        int held = to - from;
        byte[] next = held + some <= in.length
                ? in
                : new byte[Math.max(LEAST, Math.max(held + some, Math.min(2 * in.length, in.length + 65_536)))];
        System.arraycopy(in, from, next, 0, held);
        in = next;
        from = 0;
        to = held;
    }

    private void trim() {
        if (from == to) {
            from = 0;
            to = 0;
            if (in.length > 4 * LEAST) {
                in = EMPTY;
            }
        }
    }

    // ---- What has come in --------------------------------------------------------------------------
    public int available() {
        return to - from;
    }

    /** A byte that has come in, counted from the first that is not used yet. */
    public byte peek(int offset) {
        return in[from + offset];
    }

    public void skip(int many) {
        from += many;
        trim();
    }

    /** Takes bytes away from what has come in. */
    public byte[] take(int many) {
        byte[] taken = Arrays.copyOfRange(in, from, from + many);
        skip(many);
        return taken;
    }

    /** A part of what has come in, one character a byte. */
    public String text(int offset, int length) {
        return new String(in, from + offset, length, java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    /** Whether the other side will send no more than {@link #available()}. */
    public boolean ended() {
        return ended;
    }

    // ---- What goes out -----------------------------------------------------------------------------
    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /** Sends, now or as soon as the other side takes it; a failure is told to the owner in a later turn. */
    public void write(ByteBuffer bytes) {
        if (closed) {
            return;
        }
        queued += bytes.remaining();
        out.add(bytes);
        if (up && out.size() == 1) {
            try {
                flush();
            } catch (IOException e) {
                reactor.execute(() -> failed(e));
            }
        }
    }

    private void flush() throws IOException {
        while (!out.isEmpty()) {
            ByteBuffer first = out.peek();
            int some = line.write(first);
            sent += some;
            queued -= some;
            if (first.hasRemaining()) {
                break;
            }
            out.poll();
        }
        interest();
    }

    /** Bytes that the kernel has taken. */
    public long sent() {
        return sent;
    }

    /** Bytes that it has not taken yet. */
    public long queued() {
        return queued;
    }

    /** Stops reading, so that the other side is held up, or goes on. */
    public void pause(boolean pause) {
        paused = pause;
        interest();
    }

    private void interest() {
        if (up && !closed) {
            line.interest(!ended && !paused, queued > 0);
        }
    }

    // ---- The end -----------------------------------------------------------------------------------
    /** Ends it from here; its owner hears nothing. */
    public void close() {
        if (!closed) {
            closed = true;
            out.clear();
            in = EMPTY;
            from = 0;
            to = 0;
            try {
                line.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }

    /** No more goes out from here, and what comes in is still read; the other side sees the end. */
    public void endOutput() {
        try {
            line.endOutput();
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    @Override
    public void failed(Exception cause) {
        if (!closed) {
            close();
            owner.closed(String.valueOf(cause.getMessage()));
        }
    }
}
