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
 * A simulated process and the environment of its reactor: one thread that runs one event at a time, sockets on its
 * machine, and the disk of the machine. Each event takes {@code eventCostMicros} of simulated time.
 */
public final class SimulatedProcess implements Environment {
    private static final int FIRST_EPHEMERAL_PORT = 40_000;
    private static final long MAX_MEMORY_BYTES = 64 * 1024 * 1024;
    private final ClusterSimulation simulation;
    private final SimulatedMachine machine;
    private final String name;
    /** Simulated time in microseconds for which each event occupies the thread. */
    private final long eventCostMicros;

    private final Reactor reactor;
    private final ProcessLoad load;
    /** Whether this process runs a production program, rather than a simulated client, operator or checker. */
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
            long eventCostMicros,
            java.util.function.Consumer<String> log) {
        this.simulation = simulation;
        this.machine = machine;
        this.name = name;
        this.eventCostMicros = eventCostMicros;
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

    /** Sets the task that runs when the program stops its reactor and the process exits. */
    void onExit(Runnable task) {
        exitListener = task;
    }

    @Override
    public String toString() {
        return name;
    }

    @Override
    public long maxMemoryBytes() {
        return MAX_MEMORY_BYTES;
    }

    // ---- Thread ------------------------------------------------------------------------------------
    /** Runs an event on the thread of the process as soon as the thread is idle. */
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
        if (inDiskWork) { // results of disk work are delivered when the disk has completed it
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
        throw new IllegalStateException("a simulated process cannot block: the simulation advances the time");
    }

    @Override
    public Volume volume(Path folder) {
        return machine.disk().volume(folder);
    }

    @Override
    public Executor newWorker(String workerName, int capacity) {
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
    /** Kills the process; the kernel closes its sockets, so its peers see the connections end. */
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

    /** Ends the process because its machine loses power; its peers receive no notification. */
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
    SimulatedTcpServerSocket serverSocket(int port) {
        return serverSockets.get(port);
    }

    SimulatedUdpSocket udpSocket(int port) {
        return udpSockets.get(port);
    }

    /** Counts bytes written to a peer; traffic with simulated clients, operators and checkers is not counted. */
    void countWrite(SimulatedProcess receiver, int byteCount) {
        if (systemProgram && receiver.systemProgram) {
            load.sentBytes += byteCount;
            load.messages++;
            receiver.load.receivedBytes += byteCount;
        }
    }

    void socketOpened(SimulatedTcpSocket socket) {
        tcpSockets.add(socket);
    }

    void socketClosed(SimulatedTcpSocket socket) {
        tcpSockets.remove(socket);
    }

    @Override
    public TcpSocket connect(InetSocketAddress address, InetSocketAddress local) {
        SimulatedMachine target = simulation.machine(address.getAddress().getHostAddress());
        SimulatedTcpSocket socket = new SimulatedTcpSocket(this, true);
        socket.sendSyn(target, address.getPort(), 0);
        return socket;
    }

    @Override
    public TcpServerSocket listen(InetSocketAddress address, int backlog) throws IOException {
        int portNumber = address.getPort() == 0 ? nextEphemeralPort++ : address.getPort();
        if (machine.tcpListener(portNumber) != null) {
            throw new BindException("Address already in use");
        }
        SimulatedTcpServerSocket serverSocket = new SimulatedTcpServerSocket(
                this,
                new InetSocketAddress(address.getAddress(), portNumber),
                backlog,
                () -> serverSockets.remove(portNumber));
        serverSockets.put(portNumber, serverSocket);
        return serverSocket;
    }

    @Override
    public UdpSocket bindDatagram(InetSocketAddress address) {
        SimulatedUdpSocket socket = new SimulatedUdpSocket(this, address);
        udpSockets.put(address.getPort(), socket);
        return socket;
    }
}
