package reedmux.common.eventloop;

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
import reedmux.common.disk.Volume;
import reedmux.common.logging.RingBufferLogger;

/**
 * Sockets whose other side is a test: each step of theirs is one call, and time stands still between. A subclass may
 * add a disk.
 */
public class ScriptedEnvironment implements Environment {
    /** Connections that were opened or accepted, in their order. */
    public final List<ScriptedSocket> sockets = new ArrayList<>();

    public final List<String> logLines = new ArrayList<>();
    /** How many bytes a new connection takes before it blocks. */
    public long socketCapacityBytes = Long.MAX_VALUE;

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final Reactor reactor;
    private long now;

    public ScriptedEnvironment() {
        this(1_000_000);
    }

    /** Begins at a time, in microseconds. */
    protected ScriptedEnvironment(long now) {
        this.now = now;
        reactor = new Reactor(new RingBufferLogger("test", 50, logLines::add, () -> this.now * 1000), this);
    }

    public Reactor reactor() {
        return reactor;
    }

    /** One connection, as its other side sees it. */
    public final class ScriptedSocket implements TcpSocket {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private final Deque<byte[]> input = new ArrayDeque<>();
        private ReadinessHandler handler;
        private boolean connected;
        private boolean inputEnded;
        private boolean wasReset;
        private boolean resetAfterInput;
        private boolean closed;
        private boolean readInterest;
        private boolean writeInterest;
        private long remainingCapacity = socketCapacityBytes;

        /** It comes up. */
        public void completeConnect() {
            connected = true;
            try {
                handler.onReady(false, true);
            } catch (IOException e) {
                handler.onFailure(e);
            }
            runReactorOnce();
        }

        public void receive(String text) {
            input.add(text.getBytes(StandardCharsets.ISO_8859_1));
            notifyHandler(true, false);
        }

        /** Comes in behind the next event, as what is on its way while we write. */
        public void receiveWithoutEvent(String text) {
            input.add(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Input with the end of the connection behind it, all of which is there before anybody reads. */
        public void receiveAndEnd(String text, boolean reset) {
            input.add(text.getBytes(StandardCharsets.ISO_8859_1));
            inputEnded = !reset;
            resetAfterInput = reset;
            notifyHandler(true, false);
        }

        /** The end comes in behind the next event. */
        public void endInputWithoutEvent() {
            inputEnded = true;
        }

        public void endInput() {
            inputEnded = true;
            notifyHandler(true, false);
        }

        public void reset() {
            wasReset = true;
            notifyHandler(true, true);
        }

        /** It takes so many more bytes. */
        public void setCapacityBytes(long more) {
            remainingCapacity = more;
            notifyHandler(false, true);
        }

        private void notifyHandler(boolean readable, boolean writable) {
            if (closed) {
                return;
            }
            try {
                if (!connected || readable && readInterest || writable && writeInterest) {
                    handler.onReady(readable && connected, writable);
                }
                while (!closed && !input.isEmpty() && readInterest) {
                    handler.onReady(true, false);
                }
            } catch (IOException e) {
                handler.onFailure(e);
            }
            runReactorOnce();
        }

        /** All that has come here. */
        public String writtenText() {
            return written.toString(StandardCharsets.ISO_8859_1);
        }

        public boolean isClosed() {
            return closed;
        }

        public boolean isConnected() {
            return connected && !closed;
        }

        @Override
        public void setHandler(ReadinessHandler by) {
            handler = by;
        }

        @Override
        public boolean isConnectedAtOnce() {
            return false;
        }

        @Override
        public boolean finishConnect() throws IOException {
            throwIfReset();
            return connected;
        }

        private void throwIfReset() throws IOException {
            if (wasReset) {
                throw new IOException("Connection reset by peer");
            }
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            throwIfReset();
            byte[] next = input.poll();
            if (next == null && resetAfterInput) {
                throw new IOException("Connection reset by peer");
            } else if (next == null) {
                return inputEnded ? -1 : 0;
            }
            int some = Math.min(next.length, into.remaining());
            into.put(next, 0, some);
            if (some < next.length) {
                input.addFirst(java.util.Arrays.copyOfRange(next, some, next.length));
            }
            return some;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            throwIfReset();
            int some = (int) Math.min(remainingCapacity, from.remaining());
            for (int i = 0; i < some; i++) {
                written.write(from.get());
            }
            remainingCapacity -= some;
            return some;
        }

        @Override
        public void setInterest(boolean wantsReads, boolean wantsWrites) {
            readInterest = wantsReads;
            writeInterest = wantsWrites;
        }

        @Override
        public void shutdownOutput() {}

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Runs what is due. */
    public void runReactorOnce() {
        reactor.runOnce();
    }

    /** Time passes, with a turn each hundredth of a second. */
    public void advanceMicros(long micros) {
        for (long until = now + micros; now < until; ) {
            now = Math.min(until, now + 10_000);
            reactor.runOnce();
        }
    }

    /** Time passes, and the reactor does not run: it sees that in its next turn. */
    public final void advanceClockMicros(long micros) {
        now += micros;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public Runnable pollTask() {
        return tasks.poll();
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long newIncarnationId() {
        return 7;
    }

    @Override
    public TcpSocket connect(InetSocketAddress to, InetSocketAddress local) {
        ScriptedSocket conn = new ScriptedSocket();
        sockets.add(conn);
        return conn;
    }

    /** One that somebody else has opened. */
    public Connection acceptConnection() throws IOException {
        ScriptedSocket conn = new ScriptedSocket();
        conn.connected = true;
        conn.readInterest = true;
        sockets.add(conn);
        return Connection.ofAccepted(reactor, conn);
    }

    @Override
    public TcpServerSocket listen(InetSocketAddress at, int backlog) {
        throw new UnsupportedOperationException();
    }

    @Override
    public UdpSocket bindDatagram(InetSocketAddress at) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Volume volume(Path folder) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Executor newWorker(String name, int most) {
        return this;
    }

    @Override
    public void awaitReadiness(long until) {}

    @Override
    public void close() {}
}
