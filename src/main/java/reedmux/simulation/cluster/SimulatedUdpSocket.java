package reedmux.simulation.cluster;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.common.eventloop.Environment;

/** A simulated UDP socket: datagrams are delayed, lost at random, and dropped when the receive queue is full. */
public final class SimulatedUdpSocket implements Environment.UdpSocket {
    private static final int MAX_QUEUED = 256;
    private final SimulatedProcess process;
    private final InetSocketAddress address;
    private final Deque<QueuedDatagram> queue = new ArrayDeque<>();
    private Environment.ReadinessHandler handler;

    private record QueuedDatagram(InetSocketAddress from, byte[] bytes) {}

    SimulatedUdpSocket(SimulatedProcess process, InetSocketAddress address) {
        this.process = process;
        this.address = address;
    }

    @Override
    public void setHandler(Environment.ReadinessHandler newHandler) {
        handler = newHandler;
    }

    @Override
    public void send(InetSocketAddress to, ByteBuffer bytes) {
        ClusterSimulation simulation = process.simulation();
        SimulatedMachine target = simulation.machine(to.getAddress().getHostAddress());
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        if (target == null || simulation.drawDatagramLoss() || !simulation.isReachable(process.machine(), target)) {
            return;
        }
        simulation.scheduleAfter(simulation.drawDelayMicros(process.machine(), target), () -> {
            SimulatedProcess receiver = target.udpReceiver(to.getPort());
            if (receiver != null) {
                receiver.udpSocket(to.getPort()).enqueue(new QueuedDatagram(address, copy));
            }
        });
    }

    private void enqueue(QueuedDatagram datagram) {
        if (queue.size() < MAX_QUEUED) {
            queue.add(datagram);
            process.submit(() -> {
                try {
                    handler.onReady(true, false);
                } catch (java.io.IOException e) {
                    handler.onFailure(e);
                }
            });
        }
    }

    @Override
    public InetSocketAddress receive(ByteBuffer buffer) {
        QueuedDatagram datagram = queue.poll();
        if (datagram == null) {
            return null;
        }
        buffer.put(datagram.bytes);
        return datagram.from;
    }
}
