package reedmux.simulation.cluster;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.common.eventloop.Environment;

/**
 * One end of a simulated TCP connection. Data arrives in order after a random delay. Data that a partition blocks is
 * retransmitted after the partition has healed, unless the keepalive of the side that opened the connection times out
 * first. The window of {@value #WINDOW_BYTES} bytes blocks a writer whose peer does not read.
 */
public final class SimulatedTcpSocket implements Environment.TcpSocket {
    private static final int WINDOW_BYTES = 64 * 1024;
    private static final long FIRST_SYN_RETRY_MICROS = 1_000_000;
    /** Interval in which data blocked by a partition is retransmitted. */
    private static final long RETRANSMIT_MICROS = 200_000;

    private static final long KEEPALIVE_INTERVAL_MICROS = 1_000_000;
    /** The side that opened the connection fails it when the peer has been unreachable for this long. */
    private static final long KEEPALIVE_TIMEOUT_MICROS = 5 * KEEPALIVE_INTERVAL_MICROS;

    private final SimulatedProcess process;
    private final ClusterSimulation simulation;
    private SimulatedTcpSocket peer;
    private Environment.ReadinessHandler handler;
    private final Deque<byte[]> received = new ArrayDeque<>();
    private int receivedOffset;
    private boolean inputEnded;
    private IOException failure;
    private boolean connected;
    private boolean closed;
    /** Whether the machine lost power, so that this end no longer has any state of the connection. */
    private boolean powerLost;

    private boolean readInterest = true;
    private boolean writeInterest;
    private boolean notificationPending;
    private boolean connectReported;
    private int unacknowledgedBytes;
    private long lastArrival;
    private final Deque<Runnable> undelivered = new ArrayDeque<>();
    private long unreachableSince = -1;

    SimulatedTcpSocket(SimulatedProcess process, boolean initiator) {
        this.process = process;
        simulation = process.simulation();
        process.socketOpened(this);
        if (initiator) {
            scheduleKeepalive();
        }
    }

    /** Sends the SYN, and retransmits a dropped one with exponential backoff that starts at one second. */
    void sendSyn(SimulatedMachine target, int port, int attempt) {
        long retryDelayMicros = FIRST_SYN_RETRY_MICROS << attempt;
        Runnable retry = () -> {
            if (!closed && !connected && failure == null && process.isAlive()) {
                sendSyn(target, port, attempt + 1);
            }
        };
        if (target == null || !simulation.isReachable(process.machine(), target)) {
            simulation.scheduleAfter(retryDelayMicros, retry);
            return;
        }
        simulation.scheduleAfter(simulation.drawDelayMicros(process.machine(), target), () -> {
            SimulatedProcess listener = target.tcpListener(port);
            if (!target.powered() || closed) {
                simulation.scheduleAfter(retryDelayMicros, retry);
            } else if (listener == null) {
                replyFrom(target, () -> fail(new ConnectException("Connection refused")));
            } else {
                SimulatedTcpSocket accepted = new SimulatedTcpSocket(listener, false);
                accepted.connected = true;
                accepted.connectReported = true;
                accepted.peer = this;
                if (!listener.serverSocket(port).enqueue(accepted)) {
                    listener.socketClosed(accepted);
                    simulation.scheduleAfter(retryDelayMicros, retry);
                    return;
                }
                replyFrom(target, () -> {
                    if (closed || !process.isAlive()) {
                        accepted.fail(new IOException("Connection reset by peer"));
                        return;
                    }
                    peer = accepted;
                    connected = true;
                    notifyHandler();
                });
            }
        });
    }

    private void replyFrom(SimulatedMachine from, Runnable task) {
        if (simulation.isReachable(from, process.machine())) {
            simulation.scheduleAfter(simulation.drawDelayMicros(from, process.machine()), task);
        } else {
            simulation.scheduleAfter(RETRANSMIT_MICROS, () -> replyFrom(from, task));
        }
    }

    private void scheduleKeepalive() {
        simulation.scheduleAfter(KEEPALIVE_INTERVAL_MICROS, () -> {
            if (closed || !process.isAlive() || failure != null) {
                return;
            }
            if (connected && peer != null) {
                SimulatedMachine peerMachine = peer.process.machine();
                boolean peerReachable = simulation.isReachable(process.machine(), peerMachine)
                        && simulation.isReachable(peerMachine, process.machine())
                        && peerMachine.powered();
                if (peerReachable && peer.powerLost) {
                    fail(new IOException("Connection reset by peer"));
                    return;
                }
                unreachableSince = peerReachable ? -1 : unreachableSince < 0 ? simulation.now() : unreachableSince;
                if (unreachableSince >= 0
                        && simulation.now() - unreachableSince
                                >= KEEPALIVE_TIMEOUT_MICROS - KEEPALIVE_INTERVAL_MICROS) {
                    fail(new IOException("Connection timed out"));
                    return;
                }
            }
            scheduleKeepalive();
        });
    }

    // ---- Transmission ------------------------------------------------------------------------------
    /** Runs {@code arrival} at the peer in order; a partition delays it until the path is healed. */
    private void transmit(Runnable arrival) {
        if (peer == null) {
            return;
        }
        if (!undelivered.isEmpty() || !simulation.isReachable(process.machine(), peer.process.machine())) {
            undelivered.add(arrival);
            if (undelivered.size() == 1) {
                simulation.scheduleAfter(RETRANSMIT_MICROS, this::retransmit);
            }
            return;
        }
        lastArrival = Math.max(
                lastArrival + 1,
                simulation.now() + simulation.drawDelayMicros(process.machine(), peer.process.machine()));
        simulation.scheduleAt(lastArrival, () -> deliver(arrival));
    }

    private void retransmit() {
        if (powerLost || !process.machine().powered()) {
            undelivered.clear();
        } else if (!simulation.isReachable(process.machine(), peer.process.machine())) {
            simulation.scheduleAfter(RETRANSMIT_MICROS, this::retransmit);
        } else {
            while (!undelivered.isEmpty()) {
                Runnable next = undelivered.poll();
                lastArrival = Math.max(
                        lastArrival + 1,
                        simulation.now() + simulation.drawDelayMicros(process.machine(), peer.process.machine()));
                simulation.scheduleAt(lastArrival, () -> deliver(next));
            }
        }
    }

    private void deliver(Runnable arrival) {
        if (peer.powerLost) {
            // a machine that lost power doesn't respond; once it is restarted it resets the connection
            if (peer.process.machine().powered()) {
                replyFrom(peer.process.machine(), () -> fail(new IOException("Connection reset by peer")));
            }
        } else {
            arrival.run();
        }
    }

    // ---- Calls of the process ----------------------------------------------------------------------
    @Override
    public void setHandler(Environment.ReadinessHandler newHandler) {
        handler = newHandler;
        notifyHandler();
    }

    @Override
    public boolean isConnectedAtOnce() {
        return false;
    }

    @Override
    public boolean finishConnect() throws IOException {
        checkOpen();
        connectReported |= connected;
        return connected;
    }

    private void checkOpen() throws IOException {
        if (failure != null) {
            throw failure;
        } else if (closed) {
            throw new IOException("closed");
        }
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        checkOpen();
        int bytesRead = 0;
        while (!received.isEmpty() && buffer.hasRemaining()) {
            byte[] first = received.peek();
            int count = Math.min(buffer.remaining(), first.length - receivedOffset);
            buffer.put(first, receivedOffset, count);
            receivedOffset += count;
            bytesRead += count;
            if (receivedOffset == first.length) {
                received.poll();
                receivedOffset = 0;
            }
        }
        if (bytesRead > 0) {
            int acknowledged = bytesRead;
            SimulatedTcpSocket to = peer;
            transmit(() -> to.acknowledge(acknowledged));
            return bytesRead;
        }
        return inputEnded && received.isEmpty() ? -1 : 0;
    }

    private void acknowledge(int byteCount) {
        unacknowledgedBytes -= byteCount;
        notifyHandler();
    }

    @Override
    public int write(ByteBuffer buffer) throws IOException {
        checkOpen();
        int count = Math.min(buffer.remaining(), WINDOW_BYTES - unacknowledgedBytes);
        if (count <= 0) {
            return 0;
        }
        byte[] bytes = new byte[count];
        buffer.get(bytes);
        unacknowledgedBytes += count;
        SimulatedTcpSocket to = peer;
        process.countWrite(to.process, count);
        transmit(() -> to.receive(bytes));
        return count;
    }

    private void receive(byte[] bytes) {
        if (closed) {
            SimulatedTcpSocket to = peer;
            transmit(() -> to.fail(new IOException("Connection reset by peer")));
        } else {
            received.add(bytes);
            notifyHandler();
        }
    }

    @Override
    public void setInterest(boolean wantsReads, boolean wantsWrites) {
        readInterest = wantsReads;
        writeInterest = wantsWrites;
        notifyHandler();
    }

    private void notifyHandler() {
        if (notificationPending || handler == null || closed || !isReady()) {
            return;
        }
        notificationPending = true;
        process.submit(() -> {
            notificationPending = false;
            if (!closed && isReady()) {
                try {
                    boolean failed = failure != null;
                    handler.onReady(
                            failed || readInterest && (!received.isEmpty() || inputEnded),
                            failed || writeInterest && unacknowledgedBytes < WINDOW_BYTES);
                } catch (IOException e) {
                    handler.onFailure(e);
                }
                notifyHandler();
            }
        });
    }

    private boolean isReady() {
        return failure != null
                || (connectReported
                        ? readInterest && (!received.isEmpty() || inputEnded)
                                || writeInterest && unacknowledgedBytes < WINDOW_BYTES
                        : connected);
    }

    @Override
    public void shutdownOutput() {
        SimulatedTcpSocket to = peer;
        transmit(() -> {
            to.inputEnded = true;
            to.notifyHandler();
        });
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        process.socketClosed(this);
        if (peer != null && failure == null) {
            boolean unread = !received.isEmpty();
            SimulatedTcpSocket to = peer;
            if (unread) {
                undelivered.clear();
                transmit(() -> to.fail(new IOException("Connection reset by peer")));
            } else {
                shutdownOutput();
            }
        }
    }

    private void fail(IOException cause) {
        if (failure == null && !closed) {
            failure = cause;
            undelivered.clear();
            notifyHandler();
        }
    }

    /** Discards the connection state without notifying the peer, as a machine does that loses power. */
    void losePower() {
        powerLost = true;
        closed = true;
        undelivered.clear();
        process.socketClosed(this);
    }
}
