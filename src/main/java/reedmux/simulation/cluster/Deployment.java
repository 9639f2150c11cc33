package reedmux.simulation.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.control.registry.Registry;
import reedmux.control.store.StoreServer;
import reedmux.proxy.Proxy;

/**
 * The machines of a simulated deployment and their programs, which it starts, stops and restarts as an orchestration
 * platform does.
 */
final class Deployment {
    static final String[] ZONES = {"hall-a", "hall-b", "hall-c"};
    static final int STORE_PORT = 7360;
    private static final int CONTROL_PORT = 8683;
    private static final int FRONT_PORT = 8689;
    private static final int READINESS_PORT = 8687;
    /** Simulated time for which each event occupies the thread of a process. */
    private static final long EVENT_COST_MICROS = 25;
    /** Time until the platform restarts a process that exited or failed to start. */
    private static final long RESTART_DELAY_MICROS = 500_000;
    /** Time until the platform kills processes that were asked to shut down. */
    private static final long SHUTDOWN_GRACE_MICROS = 6_000_000;
    /** Time until operators and checkers learn the address of a machine that replaces another one. */
    private static final long ADDRESS_LIST_LAG_MICROS = 3_000_000;
    /** Number of core machines that the settings list as seeds. */
    private static final int SEEDS = 3;

    private final ClusterSimulation simulation;
    private final Consumer<String> log;
    private final List<DeployedNode> proxyNodes = new ArrayList<>();
    private final List<DeployedNode> coreNodes = new ArrayList<>();
    private final List<InetSocketAddress> controlAddresses = new ArrayList<>();
    private final List<String> initialSeeds = new ArrayList<>();
    private Consumer<String> unexpectedExitListener = process -> {};
    private Consumer<String> violationListener = violation -> {};

    /** A machine together with the programs that run on it: a proxy, or a store and a registry. */
    final class DeployedNode {
        private String name;
        private SimulatedMachine machine;
        private List<String> seeds;
        private long startedAt;
        private final boolean core;
        private final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();
        private final Map<String, Program> programs = new LinkedHashMap<>();
        private boolean firstStart = true;
        private boolean down;
        private boolean shuttingDown;
        private long incarnations;
        private int stops;

        private DeployedNode(String name, SimulatedMachine machine, boolean core) {
            this.name = name;
            this.machine = machine;
            this.core = core;
        }

        String name() {
            return name;
        }

        SimulatedMachine machine() {
            return machine;
        }

        /** Returns an identifier that differs between the incarnations of this node. */
        String incarnation() {
            return name + '#' + incarnations;
        }

        /** Returns the simulated time in microseconds at which a process of this node was last started. */
        long startedAt() {
            return startedAt;
        }

        /**
         * Sets the seeds in the settings file, effective from the next start.
         *
         * @param ips the addresses without ports, or null for the initial seeds
         */
        void setSeeds(List<String> ips) {
            seeds = ips;
        }

        /** Returns the process of a role: {@code store}, {@code registry} or {@code proxy}. */
        SimulatedProcess process(String role) {
            return processes.get(role);
        }

        boolean isShuttingDown() {
            return shuttingDown;
        }

        /** Starts all programs of this node. */
        void start() {
            down = false;
            shuttingDown = false;
            incarnations++;
            startedAt = simulation.now();
            for (String role : core ? List.of("store", "registry") : List.of("proxy")) {
                start(role);
            }
            firstStart = false;
        }

        private void start(String role) {
            try {
                ProcessSettings settings = settings(this, role);
                SimulatedProcess process =
                        new SimulatedProcess(simulation, machine, name + '/' + role, EVENT_COST_MICROS, log);
                Program program =
                        switch (role) {
                            case "store" -> new StoreServer(settings, process.reactor());
                            case "registry" -> new Registry(settings, process.reactor());
                            default -> new Proxy(settings, process.reactor());
                        };
                process.reactor()
                        .invariants()
                        .setListener(violation -> violationListener.accept(name + '/' + role + ": " + violation));
                processes.put(role, process);
                programs.put(role, program);
                process.onExit(() -> simulation.scheduleAfter(RESTART_DELAY_MICROS, () -> {
                    if (processes.get(role) == process && !down) {
                        if (!shuttingDown) {
                            unexpectedExitListener.accept(name + '/' + role);
                        }
                        shuttingDown = false;
                        incarnations++;
                        startedAt = simulation.now();
                        start(role);
                    }
                }));
                process.submit(() -> {});
            } catch (ProcessSettingsException e) {
                throw new IllegalStateException(name + ": " + e.getMessage(), e);
            } catch (IOException e) { // for instance because the disk is full; the platform retries the start
                log.accept(name + '/' + role + " failed to start: " + e.getMessage());
                unexpectedExitListener.accept(name + '/' + role);
                simulation.scheduleAfter(RESTART_DELAY_MICROS, () -> {
                    if (!down) {
                        start(role);
                    }
                });
            }
        }

        /** Kills all processes of this node and restarts them after {@code downMicros}. */
        void kill(long downMicros) {
            processes.values().forEach(SimulatedProcess::kill);
            startAfter(downMicros);
        }

        /** Schedules the restart; if the node is stopped again before it, only the last stop restarts the node. */
        private void startAfter(long downMicros) {
            down = true;
            int stopNumber = ++stops;
            simulation.scheduleAfter(downMicros, () -> {
                if (stopNumber == stops) {
                    machine.restorePower();
                    start();
                }
            });
        }

        /** Cuts the power of the machine for {@code downMicros}; if {@code wiped}, the disk is erased as well. */
        void losePower(long downMicros, boolean wiped) {
            machine.losePower();
            if (wiped) {
                machine.disk().wipe();
            }
            startAfter(downMicros);
        }

        /**
         * Replaces the machine by a new one at another address. Operators and checkers learn the address three seconds
         * after the new machine starts.
         *
         * @param newName  the node name of the new machine, which may equal the old one
         * @param withDisk whether the new machine takes over the disk of the old one
         */
        void replace(String ip, String newName, boolean withDisk, long downMicros) {
            name = newName;
            machine.losePower();
            down = true;
            int stopNumber = ++stops;
            int index = coreNodes.indexOf(this);
            simulation.scheduleAfter(downMicros, () -> {
                machine = new SimulatedMachine(
                        simulation, ip, machine.zone(), withDisk ? machine.disk() : new SimulatedDisk(simulation));
                if (stopNumber == stops) {
                    start();
                }
            });
            simulation.scheduleAfter(
                    downMicros + ADDRESS_LIST_LAG_MICROS,
                    () -> controlAddresses.set(index, SocketAddresses.parse(ip + ':' + CONTROL_PORT)));
        }

        /**
         * Shuts the programs down gracefully; each is restarted after it has exited. If they exceed the grace period,
         * the node is killed and restarted after {@code downMicros}.
         */
        void terminate(long downMicros) {
            shuttingDown = true;
            int incarnation = (int) incarnations;
            processes.forEach((role, host) ->
                    host.reactor().execute(() -> programs.get(role).beginShutdown()));
            simulation.scheduleAfter(SHUTDOWN_GRACE_MICROS, () -> {
                if (incarnations == incarnation && !down) {
                    kill(downMicros);
                }
            });
        }

        void freeze(long durationMicros) {
            processes.values().forEach(SimulatedProcess::freeze);
            List<SimulatedProcess> frozen = new ArrayList<>(processes.values());
            simulation.scheduleAfter(durationMicros, () -> frozen.forEach(SimulatedProcess::thaw));
        }
    }

    Deployment(ClusterSimulation simulation, int proxies, int coreCount, Consumer<String> log) {
        this.simulation = simulation;
        this.log = log;
        for (int i = 0; i < coreCount; i++) {
            String zone = ZONES[i % ZONES.length];
            coreNodes.add(new DeployedNode(
                    "core-" + zone + '-' + i, new SimulatedMachine(simulation, "10.1." + i + ".10", zone, true), true));
            controlAddresses.add(SocketAddresses.parse("10.1." + i + ".10:" + CONTROL_PORT));
            if (i < SEEDS) {
                initialSeeds.add("10.1." + i + ".10");
            }
        }
        for (int i = 0; i < proxies; i++) {
            String zone = ZONES[i % ZONES.length];
            proxyNodes.add(new DeployedNode(
                    "edge-" + zone + '-' + i,
                    new SimulatedMachine(simulation, "10.2." + i / 200 + '.' + (10 + i % 200), zone, false),
                    false));
        }
    }

    /** Sets the listener for the names of processes that exit without a requested shutdown or fail to start. */
    void onUnexpectedExit(Consumer<String> listener) {
        unexpectedExitListener = listener;
    }

    /** Sets the listener for violations that the programs detect in their own invariants. */
    void onInvariantViolation(Consumer<String> listener) {
        violationListener = listener;
    }

    void start() {
        coreNodes.forEach(DeployedNode::start);
        proxyNodes.forEach(DeployedNode::start);
    }

    List<DeployedNode> proxies() {
        return proxyNodes;
    }

    List<DeployedNode> coreNodes() {
        return coreNodes;
    }

    /** Returns the live list of control addresses known to operators and checkers; it lags behind replacements. */
    List<InetSocketAddress> controlAddresses() {
        return controlAddresses;
    }

    InetSocketAddress frontAddress(DeployedNode proxy) {
        return SocketAddresses.parse(proxy.machine.ip() + ':' + FRONT_PORT);
    }

    InetSocketAddress readinessAddress(DeployedNode proxy) {
        return SocketAddresses.parse(proxy.machine.ip() + ':' + READINESS_PORT);
    }

    private ProcessSettings settings(DeployedNode node, String role) throws ProcessSettingsException {
        List<String> seeds = new ArrayList<>();
        for (String seed : node.seeds == null ? initialSeeds : node.seeds) {
            seeds.add('"' + seed + ':' + CONTROL_PORT + '"');
        }
        String ip = node.machine.ip();
        return ProcessSettings.parse(
                node.name + '/' + role,
                "node = \"" + node.name + "\"\nip = \"" + ip
                        + "\"\nzone = \"" + node.machine.zone() + "\"\nportRange = [" + STORE_PORT + ", "
                        + (STORE_PORT + 15)
                        + "]\nseeds = [" + String.join(", ", seeds) + "]\ncoldStart = " + node.firstStart
                        + "\nperiodMs = 1500\n" + (node.core ? "dataDir = \"/data\"\n" : "")
                        + "[sockets]\nfront = \"" + ip + ':' + FRONT_PORT + "\"\nready = \"" + ip + ':' + READINESS_PORT
                        + "\"\ncontrol = \"" + ip + ':' + CONTROL_PORT + "\"\n[tolerance]\nmachines = 1\n[envelope]\n"
                        + "graceS = 6\nretryRatio = 0.2\nretrySlack = 56\n[saturation]\nfdLimit = 4100\n");
    }
}
