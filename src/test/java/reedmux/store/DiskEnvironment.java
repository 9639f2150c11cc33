package reedmux.store;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import reedmux.disk.Volume;
import reedmux.log.Ring;
import reedmux.net.Environment;
import reedmux.net.Reactor;

/** A process that has a disk and a clock and nothing else; its disk's tasks run when the test says so. */
public final class DiskEnvironment implements Environment {
    private final Volume volume;
    private final Deque<Runnable> posted = new ArrayDeque<>();
    public final Deque<Runnable> disk = new ArrayDeque<>();
    public final List<String> log = new ArrayList<>();
    public long now;

    public DiskEnvironment(Volume volume) {
        this.volume = volume;
    }

    public Reactor reactor() {
        return new Reactor(new Ring("store", 10, log::add, () -> now * 1000), this);
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long draw() {
        return 1;
    }

    @Override
    public void execute(Runnable task) {
        posted.add(task);
    }

    @Override
    public Runnable next() {
        return posted.poll();
    }

    @Override
    public Volume volume(Path folder) {
        return volume;
    }

    @Override
    public Executor worker(String name, int most) {
        return disk::add;
    }

    @Override
    public Line open(InetSocketAddress to, InetSocketAddress local) {
        throw new UnsupportedOperationException();
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
    public void await(long until) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {
        // nothing is held
    }
}
