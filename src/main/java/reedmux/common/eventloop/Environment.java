package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;

/**
 * Everything outside the process that a {@link Reactor} uses: sockets, disks, the clock and random numbers.
 * {@link NioEnvironment} is the operating system's; the cluster simulation implements the same interface in virtual
 * time, so that the production programs run there unchanged.
 *
 * <p>Only {@link #execute} may be called from any thread; all other methods, those of the sockets included, belong to
 * the reactor's thread. No method blocks except {@link #awaitReadiness}. Times are microseconds of {@link #now()}.
 */
public interface Environment extends Executor {

    /** Receives the readiness events of one socket, on the reactor's thread. */
    interface ReadinessHandler {

        /**
         * The socket can be read, written, or both.
         *
         * @throws IOException if the socket has failed; the caller then calls {@link #onFailure}
         */
        void onReady(boolean readable, boolean writable) throws IOException;

        /** {@link #onReady} has thrown {@code cause}; the handler closes the socket or gives it up. */
        void onFailure(Exception cause);
    }

    /** A non-blocking TCP connection. */
    interface TcpSocket {

        /** Registers the one handler of this socket; to be called once, before anything is read or written. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /** Whether the connection was established within {@code connect}, so that no readiness event will tell. */
        boolean isConnectedAtOnce();

        /**
         * Completes the connection once the handler has been told that it is ready.
         *
         * @return whether it is established
         * @throws IOException if it cannot be established
         */
        boolean finishConnect() throws IOException;

        /** Reads as a channel does: returns the number of bytes, 0 if none is there, -1 at the end of the stream. */
        int read(ByteBuffer into) throws IOException;

        /** Writes as much as the kernel takes and returns the number of bytes. */
        int write(ByteBuffer from) throws IOException;

        /** Sets which events the handler receives from now on; to be called once the connection is established. */
        void setInterest(boolean reads, boolean writes);

        /** Sends the end of the stream; the input stays open. */
        void shutdownOutput() throws IOException;

        /** The peer's address for log lines. */
        default String remoteAddress() {
            return "an unknown address";
        }

        /** Closes both directions. */
        void close() throws IOException;
    }

    /** A listening TCP socket. */
    interface TcpServerSocket {

        /** The address that is bound, with the port that was chosen where port 0 was asked for. */
        InetSocketAddress localAddress() throws IOException;

        /** Registers the one handler of this socket; accepting is enabled from then on. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /**
         * The next connection of the backlog, or null if there is none.
         *
         * @throws IOException if no descriptor is left
         */
        TcpSocket accept() throws IOException;

        /** Whether the handler is told of new connections; while it is not, they wait in the backlog. */
        void setAcceptEnabled(boolean accepts);

        /** Stops listening. */
        void close() throws IOException;
    }

    /** A bound UDP socket. */
    interface UdpSocket {

        /** Registers the one handler of this socket. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /** Sends one datagram; it may be lost without an error. */
        void send(InetSocketAddress to, ByteBuffer bytes) throws IOException;

        /** Reads the next datagram and returns its sender, or null if there is none. */
        InetSocketAddress receive(ByteBuffer into) throws IOException;
    }

    /** Microseconds of a monotonic clock. */
    long now();

    /** A number that tells one incarnation of a process from another. */
    long newIncarnationId();

    /**
     * Begins to open a connection.
     *
     * @param local the address to bind, or null for any
     */
    TcpSocket connect(InetSocketAddress to, InetSocketAddress local) throws IOException;

    /**
     * Binds an address for incoming connections.
     *
     * @param backlog how many established connections may wait for {@link TcpServerSocket#accept}
     */
    TcpServerSocket listen(InetSocketAddress at, int backlog) throws IOException;

    /** Binds an address for datagrams. */
    UdpSocket bindDatagram(InetSocketAddress at) throws IOException;

    /** The files below a directory. */
    Volume volume(Path folder);

    /**
     * A thread of its own for tasks that block on a disk. It runs them one after the other, in order.
     *
     * @param capacity how many tasks may wait; beyond that {@code execute} throws
     *                 {@link java.util.concurrent.RejectedExecutionException}
     */
    Executor newWorker(String name, int capacity);

    /** The next task given to {@link #execute}, or null. */
    Runnable pollTask();

    /**
     * Waits until a socket is ready, a task has been given to {@link #execute}, or {@code until} has passed, and calls
     * the handlers of the sockets that are ready.
     *
     * @param until microseconds of {@link #now()}; {@link Long#MAX_VALUE} for no limit
     */
    void awaitReadiness(long until) throws IOException;

    /** Closes all sockets. */
    void close() throws IOException;
}
