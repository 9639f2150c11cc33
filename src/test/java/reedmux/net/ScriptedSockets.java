package reedmux.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import reedmux.disk.Volume;
import reedmux.log.Ring;

/** Sockets whose other side is a test: each step of theirs is one call, and time stands still between. */
public final class ScriptedSockets implements Environment {
    /** Connections that were opened or accepted, in their order. */
    public final List<Conn> opened = new ArrayList<>();

    public final List<String> lines = new ArrayList<>();
    /** How many bytes a new connection takes before it blocks. */
    public long room = Long.MAX_VALUE;

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final Reactor reactor;
    private long now = 1_000_000;

    public ScriptedSockets() {
        reactor = new Reactor(new Ring("test", 50, lines::add, () -> now * 1000), this);
    }

    public Reactor reactor() {
        return reactor;
    }

    /** One connection, as its other side sees it. */
    public final class Conn implements Line {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private final Deque<byte[]> in = new ArrayDeque<>();
        private Handler handler;
        private boolean up;
        private boolean ended;
        private boolean broken;
        private boolean closed;
        private boolean reads;
        private boolean writes;
        private long left = room;

        /** It comes up. */
        public void accept() {
            up = true;
            try {
                handler.ready(false, true);
            } catch (IOException e) {
                handler.failed(e);
            }
            turn();
        }

        public void give(String text) {
            in.add(text.getBytes(StandardCharsets.ISO_8859_1));
            tell(true, false);
        }

        /** Comes in behind the next event, as what is on its way while we write. */
        public void giveUnseen(String text) {
            in.add(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public void end() {
            ended = true;
            tell(true, false);
        }

        public void reset() {
            broken = true;
            tell(true, true);
        }

        /** It takes so many more bytes. */
        public void take(long more) {
            left = more;
            tell(false, true);
        }

        private void tell(boolean readable, boolean writable) {
            if (closed) {
                return;
            }
            try {
                if (!up || readable && reads || writable && writes) {
                    handler.ready(readable && up, writable);
                }
                while (!closed && !in.isEmpty() && reads) {
                    handler.ready(true, false);
                }
            } catch (IOException e) {
                handler.failed(e);
            }
            turn();
        }

        /** All that has come here. */
        public String text() {
            return written.toString(StandardCharsets.ISO_8859_1);
        }

        public boolean isClosed() {
            return closed;
        }

        public boolean isUp() {
            return up && !closed;
        }

        @Override
        public void handle(Handler by) {
            handler = by;
        }

        @Override
        public boolean upAtOnce() {
            return false;
        }

        @Override
        public boolean finish() throws IOException {
            check();
            return up;
        }

        private void check() throws IOException {
            if (broken) {
                throw new IOException("Connection reset by peer");
            }
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            check();
            byte[] next = in.poll();
            if (next == null) {
                return ended ? -1 : 0;
            }
            int some = Math.min(next.length, into.remaining());
            into.put(next, 0, some);
            if (some < next.length) {
                in.addFirst(java.util.Arrays.copyOfRange(next, some, next.length));
            }
            return some;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            check();
            int some = (int) Math.min(left, from.remaining());
            for (int i = 0; i < some; i++) {
                written.write(from.get());
            }
            left -= some;
            return some;
        }

        @Override
        public void interest(boolean wantsReads, boolean wantsWrites) {
            reads = wantsReads;
            writes = wantsWrites;
        }

        @Override
        public void endOutput() {}

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Runs what is due. */
    public void turn() {
        reactor.turn();
    }

    /** Time passes, with a turn each hundredth of a second. */
    public void pass(long micros) {
        for (long until = now + micros; now < until; ) {
            now = Math.min(until, now + 10_000);
            reactor.turn();
        }
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public Runnable next() {
        return tasks.poll();
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long draw() {
        return 7;
    }

    @Override
    public Line open(InetSocketAddress to, InetSocketAddress local) {
        Conn conn = new Conn();
        opened.add(conn);
        return conn;
    }

    /** One that somebody else has opened. */
    public Wire accepted() throws IOException {
        Conn conn = new Conn();
        conn.up = true;
        conn.reads = true;
        opened.add(conn);
        return Wire.accepted(reactor, conn);
    }

    @Override
    public Port listen(InetSocketAddress at, int backlog) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Post post(InetSocketAddress at) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Volume volume(Path folder) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Executor worker(String name, int most) {
        return this;
    }

    @Override
    public void await(long until) {}

    @Override
    public void close() {}
}
