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
 * An environment in which a test plays the peer of every socket. Each method call of the test is one event, and the
 * clock advances only when the test advances it. A subclass may add a disk.
 */
public class ScriptedEnvironment implements Environment {
    /** The sockets of all opened or accepted connections, in order of creation. */
    public final List<ScriptedSocket> sockets = new ArrayList<>();

    /** The lines that the reactor has logged. */
    public final List<String> logLines = new ArrayList<>();
    /** The memory of the process, in bytes. */
    private static final long MAX_MEMORY_BYTES = 64 * 1024 * 1024;

    /** The number of bytes that a new socket accepts before its writes block. */
    public long socketCapacityBytes = Long.MAX_VALUE;

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final Reactor reactor;
    private long now;

    public ScriptedEnvironment() {
        this(1_000_000);
    }

    /** Creates an environment whose clock starts at the given time in microseconds. */
    protected ScriptedEnvironment(long now) {
        this.now = now;
        reactor = new Reactor(new RingBufferLogger("test", 50, logLines::add, () -> this.now * 1000), this);
    }

    public Reactor reactor() {
        return reactor;
    }

    @Override
    public long maxMemoryBytes() {
        return MAX_MEMORY_BYTES;
    }

    /** A socket that the test controls as its peer. */
    public final class ScriptedSocket implements TcpSocket {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private final Deque<byte[]> input = new ArrayDeque<>();
        private ReadinessHandler handler;
        private boolean connected;
        private boolean inputEnded;
        private boolean wasReset;
        private boolean resetAfterInput;
        private boolean closed;
        private boolean outputShutdown;
        private boolean readInterest;
        private boolean writeInterest;
        private long remainingCapacity = socketCapacityBytes;

        /** Establishes the connection. */
        public void completeConnect() {
            connected = true;
            try {
                handler.onReady(false, true);
            } catch (IOException e) {
                handler.onFailure(e);
            }
            runReactorOnce();
        }

        /** Delivers input and reports the socket as readable. */
        public void receive(String text) {
            input.add(text.getBytes(StandardCharsets.ISO_8859_1));
            notifyHandler(true, false);
        }

        /** Delivers input without a readiness event, like data that arrives while the program is writing. */
        public void receiveWithoutEvent(String text) {
            input.add(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Delivers input followed by the end of the stream or by a reset, both before the program reads. */
        public void receiveAndEnd(String text, boolean reset) {
            input.add(text.getBytes(StandardCharsets.ISO_8859_1));
            inputEnded = !reset;
            resetAfterInput = reset;
            notifyHandler(true, false);
        }

        /** Ends the input without a readiness event. */
        public void endInputWithoutEvent() {
            inputEnded = true;
        }

        /** Ends the input and reports the socket as readable. */
        public void endInput() {
            inputEnded = true;
            notifyHandler(true, false);
        }

        /** Resets the connection and reports the socket as readable and writable. */
        public void reset() {
            wasReset = true;
            notifyHandler(true, true);
        }

        /** Sets the number of bytes that the socket still accepts and reports it as writable. */
        public void setCapacityBytes(long newCapacity) {
            remainingCapacity = newCapacity;
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

        /** Returns everything that the program has written to the socket. */
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
        public void setHandler(ReadinessHandler newHandler) {
            handler = newHandler;
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
        public int read(ByteBuffer buffer) throws IOException {
            throwIfReset();
            byte[] next = input.poll();
            if (next == null && resetAfterInput) {
                throw new IOException("Connection reset by peer");
            } else if (next == null) {
                return inputEnded ? -1 : 0;
            }
            int count = Math.min(next.length, buffer.remaining());
            buffer.put(next, 0, count);
            if (count < next.length) {
                input.addFirst(java.util.Arrays.copyOfRange(next, count, next.length));
            }
            return count;
        }

        @Override
        public int write(ByteBuffer buffer) throws IOException {
            throwIfReset();
            if (outputShutdown) {
                throw new IOException("Broken pipe");
            }
            int count = (int) Math.min(remainingCapacity, buffer.remaining());
            for (int i = 0; i < count; i++) {
                written.write(buffer.get());
            }
            remainingCapacity -= count;
            return count;
        }

        @Override
        public void setInterest(boolean reads, boolean writes) {
            readInterest = reads;
            writeInterest = writes;
        }

        @Override
        public void shutdownOutput() {
            outputShutdown = true;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Runs one iteration of the reactor: the submitted tasks and the timers that are due. */
    public void runReactorOnce() {
        reactor.runOnce();
    }

    /** Advances the clock in steps of 10 ms and runs the reactor once after each step. */
    public void advanceMicros(long micros) {
        for (long target = now + micros; now < target; ) {
            now = Math.min(target, now + 10_000);
            reactor.runOnce();
        }
    }

    /** Advances the clock without running the reactor, which sees the new time in its next iteration. */
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
    public TcpSocket connect(InetSocketAddress remoteAddress, InetSocketAddress localAddress) {
        ScriptedSocket socket = new ScriptedSocket();
        sockets.add(socket);
        return socket;
    }

    /** Accepts a connection that the test opens. */
    public Connection acceptConnection() throws IOException {
        ScriptedSocket socket = new ScriptedSocket();
        socket.connected = true;
        socket.readInterest = true;
        sockets.add(socket);
        return Connection.ofAccepted(reactor, socket);
    }

    @Override
    public TcpServerSocket listen(InetSocketAddress address, int backlog) {
        throw new UnsupportedOperationException();
    }

    @Override
    public UdpSocket bindDatagram(InetSocketAddress address) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Volume volume(Path folder) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Executor newWorker(String name, int capacity) {
        return this;
    }

    @Override
    public void awaitReadiness(long deadline) {}

    @Override
    public void close() {}
}
