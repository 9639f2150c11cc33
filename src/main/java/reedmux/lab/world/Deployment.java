package reedmux.lab.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.boot.Program;
import reedmux.config.Addresses;
import reedmux.proxy.Proxy;
import reedmux.registry.Registry;
import reedmux.store.Store;

/** The machines of a deployment and the programs on them, started and ended as the platform does. */
final class Deployment {
    static final String[] ZONES = {"hall-a", "hall-b", "hall-c"};
    static final int STORE = 7360;
    private static final int CONTROL = 8683;
    private static final int FRONT = 8689;
    private static final int READY = 8687;
    private static final long COST = 25;
    private static final long AGAIN = 500_000;
    private static final long GRACE = 6_000_000;
    private static final long LIST_LAG = 3_000_000;
    private static final int SEEDS = 3;
    private final World world;
    private final Consumer<String> log;
    private final List<Node> edges = new ArrayList<>();
    private final List<Node> cores = new ArrayList<>();
    private final List<InetSocketAddress> control = new ArrayList<>();
    private final List<String> first = new ArrayList<>();
    private Consumer<String> byItself = process -> {};

    /** A machine with its programs. */
    final class Node {
        private final String name;
        private Machine machine;
        private List<String> seeds;
        private long bornAt;
        private final boolean core;
        private final Map<String, Host> hosts = new LinkedHashMap<>();
        private final Map<String, Program> programs = new LinkedHashMap<>();
        private boolean first = true;
        private boolean down;
        private boolean leaving;
        private long lives;
        private int falls;

        private Node(String name, Machine machine, boolean core) {
            this.name = name;
            this.machine = machine;
            this.core = core;
        }

        String name() {
            return name;
        }

        Machine machine() {
            return machine;
        }

        /** Tells one life of its proxy from another. */
        String life() {
            return name + '#' + lives;
        }

        /** When its processes were started last. */
        long bornAt() {
            return bornAt;
        }

        /** What its settings file says from the next start on; addresses without ports. */
        void seeds(List<String> ips) {
            seeds = ips;
        }

        boolean leaving() {
            return leaving;
        }

        /** Starts what it runs. */
        void start() {
            down = false;
            leaving = false;
            lives++;
            bornAt = world.now();
            for (String role : core ? List.of("store", "registry") : List.of("proxy")) {
                start(role);
            }
            first = false;
        }

        private void start(String role) {
            try {
                Boot boot = boot(this, role);
                Host host = new Host(world, machine, name + '/' + role, COST, log);
                Program program =
                        switch (role) {
                            case "store" -> new Store(boot, host.reactor());
                            case "registry" -> new Registry(boot, host.reactor());
                            default -> new Proxy(boot, host.reactor());
                        };
                hosts.put(role, host);
                programs.put(role, program);
                host.onEnd(() -> world.after(AGAIN, () -> {
                    if (hosts.get(role) == host && !down) {
                        if (!leaving) {
                            byItself.accept(name + '/' + role);
                        }
                        leaving = false;
                        lives++;
                        bornAt = world.now();
                        start(role);
                    }
                }));
                host.enter(() -> {});
            } catch (BootException e) {
                throw new IllegalStateException(name + ": " + e.getMessage(), e);
            } catch (IOException e) { // as when the disk refuses: it is tried again
                log.accept(name + '/' + role + " does not start: " + e.getMessage());
                byItself.accept(name + '/' + role);
                world.after(AGAIN, () -> {
                    if (!down) {
                        start(role);
                    }
                });
            }
        }

        /** Its processes are killed, and started again after a while. */
        void kill(long downFor) {
            hosts.values().forEach(Host::die);
            startAfter(downFor);
        }

        /** Whatever has ended it, what came last says when it is back. */
        private void startAfter(long downFor) {
            down = true;
            int fall = ++falls;
            world.after(downFor, () -> {
                if (fall == falls) {
                    machine.powerBack();
                    start();
                }
            });
        }

        /** It loses power, and with {@code wiped} its disk. */
        void losePower(long downFor, boolean wiped) {
            machine.losePower();
            if (wiped) {
                machine.disk().wipe();
            }
            startAfter(downFor);
        }

        /** Another machine takes its place and its name, at another address, perhaps with its disk. */
        void replace(String ip, boolean withDisk, long downFor) {
            machine.losePower();
            down = true;
            int fall = ++falls;
            int place = cores.indexOf(this);
            world.after(downFor, () -> {
                machine = new Machine(world, ip, machine.zone(), withDisk ? machine.disk() : new SimDisk(world));
                if (fall == falls) {
                    start();
                }
            });
            world.after(downFor + LIST_LAG, () -> control.set(place, Addresses.parse(ip + ':' + CONTROL)));
        }

        /** It is told to end, and started again. */
        void term(long downFor) {
            leaving = true;
            int of = (int) lives;
            hosts.forEach((role, host) ->
                    host.reactor().execute(() -> programs.get(role).leave()));
            world.after(GRACE, () -> {
                if (lives == of && !down) {
                    kill(downFor);
                }
            });
        }

        void freeze(long length) {
            hosts.values().forEach(Host::freeze);
            List<Host> frozen = new ArrayList<>(hosts.values());
            world.after(length, () -> frozen.forEach(Host::thaw));
        }
    }

    Deployment(World world, int proxies, int coreCount, Consumer<String> log) {
        this.world = world;
        this.log = log;
        for (int i = 0; i < coreCount; i++) {
            String zone = ZONES[i % ZONES.length];
            cores.add(new Node("core-" + zone + '-' + i, new Machine(world, "10.1." + i + ".10", zone, true), true));
            control.add(Addresses.parse("10.1." + i + ".10:" + CONTROL));
            if (i < SEEDS) {
                first.add("10.1." + i + ".10");
            }
        }
        for (int i = 0; i < proxies; i++) {
            String zone = ZONES[i % ZONES.length];
            edges.add(new Node(
                    "edge-" + zone + '-' + i,
                    new Machine(world, "10.2." + i / 200 + '.' + (10 + i % 200), zone, false),
                    false));
        }
    }

    /** Hears which process has ended, or does not start, though nobody has told it to end. */
    void onEnd(Consumer<String> hears) {
        byItself = hears;
    }

    void start() {
        cores.forEach(Node::start);
        edges.forEach(Node::start);
    }

    List<Node> edges() {
        return edges;
    }

    List<Node> cores() {
        return cores;
    }

    /** Where the operator and checkers call, as a list that lags says; it changes with time. */
    List<InetSocketAddress> control() {
        return control;
    }

    InetSocketAddress front(Node edge) {
        return Addresses.parse(edge.machine.ip() + ':' + FRONT);
    }

    InetSocketAddress ready(Node edge) {
        return Addresses.parse(edge.machine.ip() + ':' + READY);
    }

    private Boot boot(Node node, String role) throws BootException {
        List<String> seeds = new ArrayList<>();
        for (String seed : node.seeds == null ? first : node.seeds) {
            seeds.add('"' + seed + ':' + CONTROL + '"');
        }
        String ip = node.machine.ip();
        return Boot.read(
                node.name + '/' + role,
                "node = \"" + node.name + "\"\nip = \"" + ip
                        + "\"\nzone = \"" + node.machine.zone() + "\"\nportRange = [" + STORE + ", " + (STORE + 15)
                        + "]\nseeds = [" + String.join(", ", seeds) + "]\ncoldStart = " + node.first
                        + "\nperiodMs = 1500\n" + (node.core ? "dataDir = \"/data\"\n" : "")
                        + "[sockets]\nfront = \"" + ip + ':' + FRONT + "\"\nready = \"" + ip + ':' + READY
                        + "\"\ncontrol = \"" + ip + ':' + CONTROL + "\"\n[tolerance]\nmachines = 1\n[envelope]\n"
                        + "graceS = 6\nretryRatio = 0.2\nretrySlack = 56\n[saturation]\nfdLimit = 4100\n");
    }
}
