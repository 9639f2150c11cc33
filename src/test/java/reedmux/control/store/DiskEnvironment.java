package reedmux.control.store;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;
import reedmux.common.eventloop.Environment;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;

/** A process that has a disk and a clock and nothing else; its disk's tasks run when the test says so. */
public final class DiskEnvironment implements Environment {
    private final Volume volume;
    private final Deque<Runnable> reactorTasks = new ArrayDeque<>();
    public final Deque<Runnable> diskTasks = new ArrayDeque<>();
    public final List<String> logLines = new ArrayList<>();
    public long now;

    public DiskEnvironment(Volume volume) {
        this.volume = volume;
    }

    public Reactor reactor() {
        return new Reactor(new RingBufferLogger("store", 10, logLines::add, () -> now * 1000), this);
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long newIncarnationId() {
        return 1;
    }

    @Override
    public void execute(Runnable task) {
        reactorTasks.add(task);
    }

    @Override
    public Runnable pollTask() {
        return reactorTasks.poll();
    }

    @Override
    public Volume volume(Path folder) {
        return volume;
    }

    @Override
    public Executor newWorker(String name, int most) {
        return diskTasks::add;
    }

    @Override
    public TcpSocket connect(InetSocketAddress to, InetSocketAddress local) {
        throw new UnsupportedOperationException();
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
    public void awaitReadiness(long until) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {
        // nothing is held
    }
}
