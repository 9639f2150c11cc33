package reedmux.lab.world;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import reedmux.disk.Volume;
import reedmux.log.Ring;
import reedmux.net.Environment;
import reedmux.net.Reactor;

/** One process in the world: what its reactor stands on. */
final class Host implements Environment {
    private static final int FIRST_FREE = 40_000;
    private final World world;
    private final Machine machine;
    private final String name;
    /** What one thing to do takes. */
    private final long cost;

    private final Reactor reactor;
    private final Load load;
    /** Whether it is one of the system's programs, and no stand-in. */
    private final boolean program;

    private final Deque<Runnable> posted = new ArrayDeque<>();
    private final Deque<Runnable> frozen = new ArrayDeque<>();
    private final Deque<Runnable> frozenWork = new ArrayDeque<>();
    private final Map<Integer, SimPort> ports = new HashMap<>();
    private final Map<Integer, SimBox> boxes = new HashMap<>();
    private final Set<SimLine> lines = new LinkedHashSet<>();
    private Runnable ended = () -> {};
    private boolean alive = true;
    private boolean froze;
    private boolean onDisk;
    private long busyUntil;
    private long wakeAt = Long.MAX_VALUE;
    private int free = FIRST_FREE;

    Host(World world, Machine machine, String name, long cost, java.util.function.Consumer<String> log) {
        this.world = world;
        this.machine = machine;
        this.name = name;
        this.cost = cost;
        load = machine.load(name);
        program = name.indexOf('/') >= 0;
        machine.begun(this);
        reactor = new Reactor(new Ring(name, 200, log, () -> world.now() * 1000), this);
    }

    Reactor reactor() {
        return reactor;
    }

    World world() {
        return world;
    }

    Machine machine() {
        return machine;
    }

    boolean alive() {
        return alive;
    }

    /** Told when it ends by itself. */
    void onEnd(Runnable task) {
        ended = task;
    }

    @Override
    public String toString() {
        return name;
    }

    // ---- Its thread --------------------------------------------------------------------------------
    /** Has its thread do something as soon as it can, and never in the midst of something else. */
    void enter(Runnable event) {
        world.at(Math.max(world.now(), busyUntil), () -> run(event));
    }

    private void run(Runnable event) {
        if (!alive) {
            return;
        } else if (froze) {
            frozen.add(event);
        } else if (world.now() < busyUntil) {
            enter(event);
        } else {
            busyUntil = world.now() + cost;
            long begin = world.measures() ? System.nanoTime() : 0;
            event.run();
            turn();
            load.events++;
            load.nanos += world.measures() ? System.nanoTime() - begin : 0;
        }
    }

    private void turn() {
        long next = reactor.turn();
        if (reactor.ended() && alive) {
            die();
            ended.run();
        } else if (next < wakeAt || wakeAt < world.now()) {
            wakeAt = next;
            world.at(next, () -> {
                if (wakeAt == next) {
                    wakeAt = Long.MAX_VALUE;
                    enter(() -> {});
                }
            });
        }
    }

    @Override
    public long now() {
        return world.now();
    }

    @Override
    public long draw() {
        return world.random().nextLong();
    }

    @Override
    public void execute(Runnable task) {
        if (onDisk) { // what follows from the disk's work comes once that is over
            world.at(machine.disk().clock(), () -> give(task));
        } else {
            give(task);
        }
    }

    private void give(Runnable task) {
        posted.add(task);
        enter(() -> {});
    }

    @Override
    public Runnable next() {
        return posted.poll();
    }

    @Override
    public void await(long until) {
        throw new IllegalStateException("time passes in the world");
    }

    @Override
    public Volume volume(Path folder) {
        return machine.disk().volume(folder);
    }

    @Override
    public Executor worker(String ofName, int most) {
        return task -> world.at(machine.disk().clock(), () -> work(task));
    }

    private void work(Runnable task) {
        if (froze) {
            frozenWork.add(task);
        } else if (alive) {
            onDisk = true;
            try {
                task.run();
            } finally {
                onDisk = false;
            }
        }
    }

    void freeze() {
        froze = true;
    }

    void thaw() {
        froze = false;
        while (!frozen.isEmpty()) {
            enter(frozen.poll());
        }
        while (!frozenWork.isEmpty()) {
            Runnable task = frozenWork.poll();
            world.at(machine.disk().clock(), () -> work(task));
        }
    }

    // ---- Its end -----------------------------------------------------------------------------------
    /** It ends as a process ends: the kernel closes what it had open. */
    void die() {
        if (alive) {
            alive = false;
            machine.ended(this);
            List.copyOf(lines).forEach(SimLine::close);
            if (machine.disk() != null) {
                machine.disk().crash(false);
            }
        }
    }

    /** It is gone without a word. */
    void vanish() {
        alive = false;
        machine.ended(this);
        List.copyOf(lines).forEach(SimLine::vanish);
    }

    @Override
    public void close() {
        die();
    }

    // ---- Sockets -----------------------------------------------------------------------------------
    SimPort port(int number) {
        return ports.get(number);
    }

    SimBox box(int number) {
        return boxes.get(number);
    }

    /** Bytes go to a peer; counted is what the system's own programs tell each other. */
    void wrote(Host to, int many) {
        if (program && to.program) {
            load.sent += many;
            load.messages++;
            to.load.got += many;
        }
    }

    void opened(SimLine line) {
        lines.add(line);
    }

    void closed(SimLine line) {
        lines.remove(line);
    }

    @Override
    public Line open(InetSocketAddress to, InetSocketAddress local) {
        Machine target = world.machine(to.getAddress().getHostAddress());
        SimLine line = new SimLine(this, true);
        line.dial(target, to.getPort(), 0);
        return line;
    }

    @Override
    public Port listen(InetSocketAddress at, int backlog) throws IOException {
        int number = at.getPort() == 0 ? free++ : at.getPort();
        if (machine.listening(number) != null) {
            throw new BindException("Address already in use");
        }
        SimPort port =
                new SimPort(this, new InetSocketAddress(at.getAddress(), number), backlog, () -> ports.remove(number));
        ports.put(number, port);
        return port;
    }

    @Override
    public Post post(InetSocketAddress at) {
        SimBox box = new SimBox(this, at);
        boxes.put(at.getPort(), box);
        return box;
    }
}
