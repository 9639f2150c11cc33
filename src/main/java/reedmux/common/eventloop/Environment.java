package reedmux.common.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;

/**
 * The external resources that a {@link Reactor} uses: sockets, disks, the clock and incarnation ids.
 * {@link NioEnvironment} implements it on the operating system. The cluster simulation implements it in virtual time,
 * so that the production programs run there unchanged.
 *
 * <p>Only {@link #execute} may be called from any thread. All other methods, including those of the sockets, must be
 * called on the reactor's thread. No method blocks except {@link #awaitReadiness}. Times are microseconds of
 * {@link #now()}.
 */
public interface Environment extends Executor {

    /** Returns the memory that the process may use for its objects, in bytes. */
    long maxMemoryBytes();

    /** Receives the readiness events of one socket on the reactor's thread. */
    interface ReadinessHandler {

        /**
         * Called when the socket can be read, written, or both.
         *
         * @throws IOException if the socket has failed; the caller then calls {@link #onFailure}
         */
        void onReady(boolean readable, boolean writable) throws IOException;

        /** Called when {@link #onReady} has thrown {@code cause}; the handler closes the socket or stops using it. */
        void onFailure(Exception cause);
    }

    /** A non-blocking TCP connection. */
    interface TcpSocket {

        /** Registers the only handler of this socket; must be called once, before the first read or write. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /** Returns whether {@code connect} established the connection, in which case no readiness event reports it. */
        boolean isConnectedAtOnce();

        /**
         * Completes the connection after the handler has received a readiness event.
         *
         * @return whether the connection is established
         * @throws IOException if the connection cannot be established
         */
        boolean finishConnect() throws IOException;

        /**
         * Reads into a buffer.
         *
         * @return the number of bytes read: 0 if none are available, -1 at the end of the stream
         */
        int read(ByteBuffer buffer) throws IOException;

        /** Writes as many bytes as the kernel accepts and returns their number. */
        int write(ByteBuffer buffer) throws IOException;

        /** Sets which events the handler receives; may be called only after the connection is established. */
        void setInterest(boolean reads, boolean writes);

        /** Shuts down the output, so that the peer reads the end of the stream. The input stays open. */
        void shutdownOutput() throws IOException;

        /** Returns the peer's address as text for log lines. */
        default String remoteAddress() {
            return "an unknown address";
        }

        /** Closes both directions. */
        void close() throws IOException;
    }

    /** A listening TCP socket. */
    interface TcpServerSocket {

        /** Returns the bound address, with the port that the system assigned if port 0 was requested. */
        InetSocketAddress localAddress() throws IOException;

        /** Registers the only handler of this socket and enables accepting. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /**
         * Accepts the next connection of the backlog.
         *
         * @return the connection, or null if the backlog is empty
         * @throws IOException if no file descriptor is left
         */
        TcpSocket accept() throws IOException;

        /** Enables or disables events for new connections; while disabled, new connections wait in the backlog. */
        void setAcceptEnabled(boolean accepts);

        /** Stops listening. */
        void close() throws IOException;
    }

    /** A bound UDP socket. */
    interface UdpSocket {

        /** Registers the only handler of this socket. */
        void setHandler(ReadinessHandler handler) throws IOException;

        /** Sends one datagram, which may be lost without an error. */
        void send(InetSocketAddress recipient, ByteBuffer bytes) throws IOException;

        /** Reads the next datagram and returns its sender, or null if no datagram is available. */
        InetSocketAddress receive(ByteBuffer buffer) throws IOException;
    }

    /** Returns the time of a monotonic clock in microseconds. */
    long now();

    /** Returns a number that distinguishes one incarnation of a process from another. */
    long newIncarnationId();

    /**
     * Starts to open a connection.
     *
     * @param localAddress the local address to bind, or null for any
     */
    TcpSocket connect(InetSocketAddress remoteAddress, InetSocketAddress localAddress) throws IOException;

    /**
     * Binds an address and listens for connections.
     *
     * @param backlog the number of established connections that may wait for {@link TcpServerSocket#accept}
     */
    TcpServerSocket listen(InetSocketAddress address, int backlog) throws IOException;

    /** Binds an address for datagrams. */
    UdpSocket bindDatagram(InetSocketAddress address) throws IOException;

    /** Returns the volume that stores its files below a directory. */
    Volume volume(Path folder);

    /**
     * Creates an executor with a single dedicated thread for tasks that block on a disk. Tasks run one at a time, in
     * the order of submission.
     *
     * @param capacity the number of tasks that may wait; {@code execute} throws
     *                 {@link java.util.concurrent.RejectedExecutionException} for further ones
     */
    Executor newWorker(String name, int capacity);

    /** Removes and returns the next task that was submitted to {@link #execute}, or null if there is none. */
    Runnable pollTask();

    /**
     * Waits until a socket is ready, a task is submitted to {@link #execute}, or the deadline has passed, and calls the
     * handlers of the sockets that are ready.
     *
     * @param deadline in microseconds of {@link #now()}; {@link Long#MAX_VALUE} for no deadline
     */
    void awaitReadiness(long deadline) throws IOException;

    /** Closes all sockets. */
    void close() throws IOException;
}
