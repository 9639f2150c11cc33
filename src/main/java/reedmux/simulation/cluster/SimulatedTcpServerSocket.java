package reedmux.simulation.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.common.eventloop.Environment;

/** A simulated listening TCP socket; it drops connection attempts while its backlog is full. */
public final class SimulatedTcpServerSocket implements Environment.TcpServerSocket {
    private final SimulatedProcess process;
    private final InetSocketAddress address;
    private final int backlog;
    private final Runnable onClose;
    private final Deque<SimulatedTcpSocket> backlogQueue = new ArrayDeque<>();
    private Environment.ReadinessHandler handler;
    private boolean acceptEnabled = true;
    private boolean notificationPending;

    SimulatedTcpServerSocket(SimulatedProcess process, InetSocketAddress address, int backlog, Runnable onClose) {
        this.process = process;
        this.address = address;
        this.backlog = backlog;
        this.onClose = onClose;
    }

    /** Queues an established connection for {@link #accept}; returns false if the backlog is full. */
    boolean enqueue(SimulatedTcpSocket connection) {
        if (backlogQueue.size() >= backlog) {
            return false;
        }
        backlogQueue.add(connection);
        notifyHandler();
        return true;
    }

    private void notifyHandler() {
        if (!notificationPending && acceptEnabled && !backlogQueue.isEmpty() && handler != null) {
            notificationPending = true;
            process.submit(() -> {
                notificationPending = false;
                try {
                    handler.onReady(true, false);
                } catch (java.io.IOException e) {
                    handler.onFailure(e);
                }
                notifyHandler();
            });
        }
    }

    @Override
    public InetSocketAddress localAddress() {
        return address;
    }

    @Override
    public void setHandler(Environment.ReadinessHandler newHandler) {
        handler = newHandler;
    }

    @Override
    public Environment.TcpSocket accept() {
        return backlogQueue.poll();
    }

    @Override
    public void setAcceptEnabled(boolean enabled) {
        acceptEnabled = enabled;
        notifyHandler();
    }

    @Override
    public void close() {
        onClose.run();
        backlogQueue.forEach(SimulatedTcpSocket::close);
    }
}
