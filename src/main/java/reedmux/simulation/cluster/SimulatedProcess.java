package reedmux.simulation.cluster;

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
import reedmux.common.disk.Volume;
import reedmux.common.eventloop.Environment;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;

/**
 * One process of the simulation and the environment of its reactor: a thread that runs one event at a time, sockets on
 * its machine, and the machine's disk. Each event takes {@code eventCostMicros} of simulated time.
 */
public final class SimulatedProcess implements Environment {
    private static final int FIRST_EPHEMERAL_PORT = 40_000;
    private final ClusterSimulation simulation;
    private final SimulatedMachine machine;
    private final String name;
    /** The simulated time that each event occupies the thread. */
    private final long eventCostMicros;

    private final Reactor reactor;
    private final ProcessLoad load;
    /** Whether it is one of the system's programs rather than a stand-in. */
    private final boolean systemProgram;

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final Deque<Runnable> frozenEvents = new ArrayDeque<>();
    private final Deque<Runnable> frozenWork = new ArrayDeque<>();
    private final Map<Integer, SimulatedTcpServerSocket> serverSockets = new HashMap<>();
    private final Map<Integer, SimulatedUdpSocket> udpSockets = new HashMap<>();
    private final Set<SimulatedTcpSocket> tcpSockets = new LinkedHashSet<>();
    private Runnable exitListener = () -> {};
    private boolean alive = true;
    private boolean isFrozen;
    private boolean inDiskWork;
    private long busyUntil;
    private long wakeAt = Long.MAX_VALUE;
    private int nextEphemeralPort = FIRST_EPHEMERAL_PORT;

    SimulatedProcess(
            ClusterSimulation simulation,
            SimulatedMachine machine,
            String name,
            long cost,
            java.util.function.Consumer<String> log) {
        this.simulation = simulation;
        this.machine = machine;
        this.name = name;
        this.eventCostMicros = cost;
        load = machine.load(name);
        systemProgram = name.indexOf('/') >= 0;
        machine.processStarted(this);
        reactor = new Reactor(new RingBufferLogger(name, 200, log, () -> simulation.now() * 1000), this);
    }

    Reactor reactor() {
        return reactor;
    }

    ClusterSimulation simulation() {
        return simulation;
    }

    SimulatedMachine machine() {
        return machine;
    }

    boolean isAlive() {
        return alive;
    }

    /** Sets what is run when the process ends by itself. */
    void onExit(Runnable task) {
        exitListener = task;
    }

    @Override
    public String toString() {
        return name;
    }

    // ---- Thread ------------------------------------------------------------------------------------
    /** Runs an event on the process's thread as soon as that is free. */
    void submit(Runnable event) {
        simulation.scheduleAt(Math.max(simulation.now(), busyUntil), () -> runEvent(event));
    }

    private void runEvent(Runnable event) {
        if (!alive) {
            return;
        } else if (isFrozen) {
            frozenEvents.add(event);
        } else if (simulation.now() < busyUntil) {
            submit(event);
        } else {
            busyUntil = simulation.now() + eventCostMicros;
            long begin = simulation.measuresCpu() ? System.nanoTime() : 0;
            event.run();
            runReactor();
            load.events++;
            load.cpuNanos += simulation.measuresCpu() ? System.nanoTime() - begin : 0;
        }
    }

    private void runReactor() {
        long next = reactor.runOnce();
        if (reactor.isStopped() && alive) {
            kill();
            exitListener.run();
        } else if (next < wakeAt || wakeAt < simulation.now()) {
            wakeAt = next;
            simulation.scheduleAt(next, () -> {
                if (wakeAt == next) {
                    wakeAt = Long.MAX_VALUE;
                    submit(() -> {});
                }
            });
        }
    }

    @Override
    public long now() {
        return simulation.now();
    }

    @Override
    public long newIncarnationId() {
        return simulation.random().nextLong();
    }

    @Override
    public void execute(Runnable task) {
        if (inDiskWork) { // results of disk work arrive once the disk is done with it
            simulation.scheduleAt(machine.disk().idleAt(), () -> addTask(task));
        } else {
            addTask(task);
        }
    }

    private void addTask(Runnable task) {
        tasks.add(task);
        submit(() -> {});
    }

    @Override
    public Runnable pollTask() {
        return tasks.poll();
    }

    @Override
    public void awaitReadiness(long until) {
        throw new IllegalStateException("time passes in the simulation");
    }

    @Override
    public Volume volume(Path folder) {
        return machine.disk().volume(folder);
    }

    @Override
    public Executor newWorker(String ofName, int most) {
        return task -> simulation.scheduleAt(machine.disk().idleAt(), () -> runDiskWork(task));
    }

    private void runDiskWork(Runnable task) {
        if (isFrozen) {
            frozenWork.add(task);
        } else if (alive) {
            inDiskWork = true;
            try {
                task.run();
            } finally {
                inDiskWork = false;
            }
        }
    }

    void freeze() {
        isFrozen = true;
    }

    void thaw() {
        isFrozen = false;
        while (!frozenEvents.isEmpty()) {
            submit(frozenEvents.poll());
        }
        while (!frozenWork.isEmpty()) {
            Runnable task = frozenWork.poll();
            simulation.scheduleAt(machine.disk().idleAt(), () -> runDiskWork(task));
        }
    }

    // ---- Exit --------------------------------------------------------------------------------------
    /** Ends the process; the kernel closes its sockets, so peers see the end. */
    void kill() {
        if (alive) {
            alive = false;
            machine.processEnded(this);
            List.copyOf(tcpSockets).forEach(SimulatedTcpSocket::close);
            if (machine.disk() != null) {
                machine.disk().crash(false);
            }
        }
    }

    /** Ends the process as its machine loses power: peers see nothing. */
    void losePower() {
        alive = false;
        machine.processEnded(this);
        List.copyOf(tcpSockets).forEach(SimulatedTcpSocket::losePower);
    }

    @Override
    public void close() {
        kill();
    }

    // ---- Sockets -----------------------------------------------------------------------------------
    SimulatedTcpServerSocket serverSocket(int number) {
        return serverSockets.get(number);
    }

    SimulatedUdpSocket udpSocket(int number) {
        return udpSockets.get(number);
    }

    /** Counts bytes written to a peer; only those between the system's own programs. */
    void countWrite(SimulatedProcess to, int many) {
        if (systemProgram && to.systemProgram) {
            load.sentBytes += many;
            load.messages++;
            to.load.receivedBytes += many;
        }
    }

    void socketOpened(SimulatedTcpSocket socket) {
        tcpSockets.add(socket);
    }

    void socketClosed(SimulatedTcpSocket socket) {
        tcpSockets.remove(socket);
    }

    @Override
    public TcpSocket connect(InetSocketAddress to, InetSocketAddress local) {
        SimulatedMachine target = simulation.machine(to.getAddress().getHostAddress());
        SimulatedTcpSocket socket = new SimulatedTcpSocket(this, true);
        socket.sendSyn(target, to.getPort(), 0);
        return socket;
    }

    @Override
    public TcpServerSocket listen(InetSocketAddress at, int backlog) throws IOException {
        int number = at.getPort() == 0 ? nextEphemeralPort++ : at.getPort();
        if (machine.tcpListener(number) != null) {
            throw new BindException("Address already in use");
        }
        SimulatedTcpServerSocket port = new SimulatedTcpServerSocket(
                this, new InetSocketAddress(at.getAddress(), number), backlog, () -> serverSockets.remove(number));
        serverSockets.put(number, port);
        return port;
    }

    @Override
    public UdpSocket bindDatagram(InetSocketAddress at) {
        SimulatedUdpSocket socket = new SimulatedUdpSocket(this, at);
        udpSockets.put(at.getPort(), socket);
        return socket;
    }
}
