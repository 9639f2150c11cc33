package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;

/**
 * What a {@link Reactor} stands on: sockets, disks, a clock and chance. {@link NioEnvironment} is the machine's own;
 * the lab has one in virtual time, so that whole programs run there as they are. All but {@link #execute} is
 * for the reactor's thread.
 */
public interface Environment extends Executor {

    /** Whose socket is ready. */
    interface ReadinessHandler {
        void onReady(boolean readable, boolean writable) throws IOException;

        /** Something went wrong in {@link #ready}. */
        void onFailure(Exception cause);
    }

    /** A TCP connection, which never makes anybody wait. */
    interface TcpSocket {

        /** From now on {@code handler} hears of it. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /** Whether it came up at once, as on one machine it may, so that its handler will not be told. */
        boolean isConnectedAtOnce();

        /** Whether it is up; fails where it will not come up. */
        boolean finishConnect() throws IOException;

        /** As of a channel: 0 where nothing has come in, below nought at the end. */
        int read(ByteBuffer into) throws IOException;

        int write(ByteBuffer from) throws IOException;

        /** What its handler wants to hear of, once it is up. */
        void setInterest(boolean reads, boolean writes);

        void shutdownOutput() throws IOException;

        /** Who is at the other end, for people to read. */
        default String remoteAddress() {
            return "an unknown address";
        }

        void close() throws IOException;
    }

    /** A place where connections come in. */
    interface TcpServerSocket {
        InetSocketAddress localAddress() throws IOException;

        void setHandler(ReadinessHandler handler) throws IOException;

        /** The next that has come, or null. */
        TcpSocket accept() throws IOException;

        /** Whether its handler wants to hear of those that come. */
        void setAcceptEnabled(boolean accepts);

        void close() throws IOException;
    }

    /** A place for datagrams. */
    interface UdpSocket {
        void setHandler(ReadinessHandler handler) throws IOException;

        void send(InetSocketAddress to, ByteBuffer bytes) throws IOException;

        /** Who has sent the next one, or null. */
        InetSocketAddress receive(ByteBuffer into) throws IOException;
    }

    /** Microseconds of a monotonic clock. */
    long now();

    /** A number that tells one life of a process from another. */
    long newIncarnationId();

    /** Begins to open a connection; {@code local} may be null. */
    TcpSocket connect(InetSocketAddress to, InetSocketAddress local) throws IOException;

    TcpServerSocket listen(InetSocketAddress at, int backlog) throws IOException;

    UdpSocket bindDatagram(InetSocketAddress at) throws IOException;

    Volume volume(Path folder);

    /**
     * A thread of its own, for what waits for a disk. Tasks run one after the other; beyond {@code most} that
     * wait it throws {@link java.util.concurrent.RejectedExecutionException}.
     */
    Executor newWorker(String name, int most);

    /** The next task that was given to {@link #execute}, or null. */
    Runnable pollTask();

    /** Tells handlers what is ready, waiting for it until {@code until} at the latest. */
    void awaitReadiness(long until) throws IOException;

    /** Gives everything back. */
    void close() throws IOException;
}
