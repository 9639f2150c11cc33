package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** A drawn day of a deployment: traffic, changes of the configuration, troubles, perhaps a closing fault. */
public final class SimulatedDay {
    private static final long SECOND = 1_000_000;
    private static final long WARM_UP_MICROS = 6 * SECOND;
    private static final long LENGTH_MICROS = 26 * SECOND;
    private static final long STORM_LENGTH_MICROS = 60 * SECOND;
    private static final long SETTLE_MICROS = 19 * SECOND;
    private static final long RECOVERY_MICROS = 15 * SECOND;
    private static final int MIN_CHECKERS = 12;
    private static final int SURGE_REQUESTS = 8;
    private static final long SURGE_INTERVAL_MICROS = 25_000;
    private static final int ZONES = 3;
    private final ClusterSimulation world;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants = new ClusterInvariantChecker();
    private final ConfigurationGenerator configurations;
    private final SimulatedClients clients;
    private final List<SimulatedOperator> operators = new ArrayList<>();
    private final List<SimulatedChecker> checkers = new ArrayList<>();
    private final List<String> faultLog = new ArrayList<>();
    private final Random random;
    private final Consumer<String> log;
    private final DayOptions options;
    private long startedAt;
    private int nextCheckerNumber;
    private long coreHealthyAt;
    /** What is done once a change has been acknowledged. */
    private Runnable onNextAcknowledgement;
    /** What is done to the machine that has acknowledged a drain. */
    private Consumer<Deployment.DeployedNode> onNextDrainAcknowledgement;

    /**
     * How a day went.
     *
     * @param faults the troubles, with seconds from the start of traffic
     */
    public record DayOutcome(
            long seed,
            List<String> violations,
            List<String> faults,
            long digest,
            long requests,
            long served,
            long events,
            long simulatedMicros) {}

    /**
     * What all days of a run have in common.
     *
     * @param requestsPerSecond  requests a second for each proxy
     * @param storm operators change things that cannot stand together, all the time, while the core is in
     *              trouble
     * @param point 1 to 5: a long day full of what the operators' point of that number tells of; 0: a day of
     *              the usual kind
     * @param replacesAddresses whether core machines are replaced at other addresses, too
     */
    public record DayOptions(
            int proxies, int cores, double requestsPerSecond, boolean storm, int point, boolean replacesAddresses) {

        public DayOptions(int proxies, int cores, double pace, boolean storm) {
            this(proxies, cores, pace, storm, 0, false);
        }
    }

    private SimulatedDay(long seed, DayOptions shape, Consumer<String> log) {
        this.log = log;
        this.options = shape;
        world = new ClusterSimulation(seed);
        random = new Random(seed * 31 + 7);
        deployment = new Deployment(world, shape.proxies(), shape.cores(), log);
        configurations = new ConfigurationGenerator(random);
        clients = new SimulatedClients(world, deployment, invariants);
        invariants.setQuota(ConfigurationGenerator.QUOTA_RATE, ConfigurationGenerator.QUOTA_BURST);
        deployment.onUnexpectedExit(invariants::onUnexpectedExit);
        for (int i = 0; i < 2; i++) {
            operators.add(new SimulatedOperator(world, "10.8.0." + (i + 1), deployment.controlAddresses(), invariants));
        }
    }

    /** Plays one; {@code log} hears what the processes write. */
    public static DayOutcome play(long seed, DayOptions shape, Consumer<String> log) {
        return new SimulatedDay(seed, shape, log).play(seed);
    }

    void logFault(String what) {
        String line = String.format("%.3f %s", (world.now() - startedAt) / 1e6, what);
        faultLog.add(line);
        log.accept("day: " + line);
    }

    private DayOutcome play(long seed) {
        startedAt = world.now() + WARM_UP_MICROS;
        deployment.start();
        long sync = new long[] {500, 2_000, 10_000}[random.nextInt(3)];
        deployment.cores().forEach(core -> core.machine().disk().setSyncMicros(sync));
        int many = Math.max(MIN_CHECKERS, deployment.proxies().size());
        for (int i = 0; i < many; i++) {
            startChecker(
                    new SimulatedMachine(
                            world, "10.3." + i / 200 + '.' + (1 + i % 200), Deployment.ZONES[i % ZONES], false),
                    i % 2);
        }
        operators
                .get(0)
                .changeConfiguration(
                        configurations.initialChange(),
                        ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                        ConfigurationGenerator::visibleEffect,
                        status -> {});
        world.runFor(WARM_UP_MICROS);
        long length = options.point() > 0 ? STORM_LENGTH_MICROS : LENGTH_MICROS;
        long end = startedAt + length;
        sendTraffic(end + SETTLE_MICROS + SECOND);
        sendProbes(end + SETTLE_MICROS);
        if (options.point() > 0) {
            new FaultStorm(
                            this,
                            options.point(),
                            options.replacesAddresses(),
                            world,
                            deployment,
                            invariants,
                            configurations,
                            operators,
                            random)
                    .begin(end);
        } else {
            sendChanges(end - SECOND);
            injectFaults(end - 2 * SECOND);
        }
        world.runFor(length);
        String rule = "CONFIG";
        if (random.nextInt(3) == 0 && world.now() >= coreHealthyAt) {
            rule = "LOST";
            operators
                    .get(0)
                    .changeConfiguration(
                            configurations.validChange(),
                            ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                            ConfigurationGenerator::visibleEffect,
                            status -> {
                                if (status == 200) {
                                    injectClosingFault();
                                }
                            });
        }
        world.runFor(SETTLE_MICROS);
        if (rule.equals("LOST")) {
            invariants.checkRecovery(clients.countedRequests(), clients.countedServed());
        }
        String[] read = {null};
        long[] sentAt = {0};
        operators.get(0).readUntil(world.now() + 3 * SECOND, (text, since) -> {
            read[0] = text;
            sentAt[0] = since;
        });
        world.runFor(6 * SECOND);
        invariants.checkFinalRead(read[0], rule, sentAt[0]);
        invariants.checkWindows();
        world.addToDigest(String.valueOf(read[0]));
        return new DayOutcome(
                seed,
                invariants.violations(),
                faultLog,
                world.digest(),
                invariants.requestCount(),
                invariants.servedCount(),
                world.events(),
                world.now() - startedAt + WARM_UP_MICROS);
    }

    // ---- What goes on all day ----------------------------------------------------------------------
    private void startChecker(SimulatedMachine machine, int service) {
        String id = "i-" + nextCheckerNumber++;
        SimulatedChecker[] made = {null};
        made[0] = new SimulatedChecker(
                world,
                machine,
                id,
                ConfigurationGenerator.SERVICES[service],
                deployment.controlAddresses(),
                invariants,
                () -> checkers.remove(made[0]),
                this::onDrainAcknowledged);
        checkers.add(made[0]);
    }

    private void onDrainAcknowledged(String ip) {
        Consumer<Deployment.DeployedNode> then = onNextDrainAcknowledgement;
        if (then != null && world.now() >= coreHealthyAt) {
            onNextDrainAcknowledgement = null;
            deployment.cores().stream()
                    .filter(core -> core.machine().ip().equals(ip))
                    .forEach(then);
        }
    }

    private void sendTraffic(long until) {
        clients.request(configurations.planRequest());
        if (world.now() < until) {
            double mean =
                    SECOND / (options.requestsPerSecond() * deployment.proxies().size());
            world.scheduleAfter((long) (-Math.log(1 - random.nextDouble()) * mean), () -> sendTraffic(until));
        }
    }

    private void sendProbes(long until) {
        clients.probeConfiguration(
                deployment.proxies().get(random.nextInt(deployment.proxies().size())),
                configurations.planProbe(),
                configurations::isReplaced);
        if (world.now() < until) {
            world.scheduleAfter(400_000 / deployment.proxies().size(), () -> sendProbes(until));
        }
    }

    private void sendChanges(long until) {
        if (world.now() > until) {
            return;
        }
        switch (options.storm() ? Math.min(2, 1 + random.nextInt(6) / 5) : random.nextInt(6)) {
            case 0 ->
                operators
                        .get(1)
                        .changeConfiguration(
                                configurations.invalidChange(),
                                ClusterInvariantChecker.ExpectedDecision.REJECT,
                                ConfigurationGenerator::visibleEffect,
                                status -> {});
            case 1 -> {
                var pair = configurations.concurrentPair();
                for (int i = 0; i < 2; i++) {
                    operators
                            .get(i)
                            .changeConfiguration(
                                    pair.getValue().get(i),
                                    pair.getKey()
                                            ? ClusterInvariantChecker.ExpectedDecision.ACCEPT
                                            : ClusterInvariantChecker.ExpectedDecision.EITHER,
                                    ConfigurationGenerator::visibleEffect,
                                    status -> {});
                }
            }
            default ->
                operators
                        .get(0)
                        .changeConfiguration(
                                configurations.validChange(),
                                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                                ConfigurationGenerator::visibleEffect,
                                status -> {
                                    Runnable then = onNextAcknowledgement;
                                    if (status == 200 && then != null) {
                                        onNextAcknowledgement = null;
                                        then.run();
                                    }
                                });
        }
        boolean soon = random.nextInt(8) == 0;
        long pause = options.storm()
                ? soon ? 10_000 : 50_000 + random.nextInt(300_000)
                : soon ? 100_000 : 400_000 + random.nextInt(1_400_000);
        world.scheduleAfter(pause, () -> sendChanges(until));
    }

    // ---- Troubles ----------------------------------------------------------------------------------
    private void injectFaults(long until) {
        if (world.now() > until) {
            return;
        }
        int kind = random.nextInt(options.storm() ? 11 : 24);
        if (kind < 11 || kind > 21) {
            if (world.now() >= coreHealthyAt) {
                injectCoreFault(kind);
            }
        } else if (kind < 17) {
            injectProxyFault(kind);
        } else {
            injectCheckerFault(kind);
        }
        world.scheduleAfter(SECOND + random.nextInt(3_000_000), () -> injectFaults(until));
    }

    private Deployment.DeployedNode randomNode(List<Deployment.DeployedNode> nodes) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    /** A core machine is in trouble for so long; no other is to be before it is whole again. */
    void noteCoreFault(Deployment.DeployedNode node, long length, boolean half) {
        invariants.addCoreFault(world.now(), world.now() + length, half);
        if (node != null) {
            invariants.addMachineFault(node.name(), world.now(), world.now() + length);
            invariants.addMachineFault(node.machine().ip(), world.now(), world.now() + length);
        }
        coreHealthyAt = Math.max(coreHealthyAt, world.now() + length + 5 * SECOND);
    }

    /** Whether the core has been whole for so long that more may be lost. */
    boolean isCoreHealthy() {
        return world.now() >= coreHealthyAt;
    }

    /** The core is as good as whole so long after it is back. */
    void setCoreHealthyAt(long time) {
        coreHealthyAt = time;
    }

    /** The next one that has acknowledged that a checker leaves is handed over. */
    void onNextDrainAcknowledgement(Consumer<Deployment.DeployedNode> then) {
        onNextDrainAcknowledgement = then;
    }

    /** A checker leaves, serves on for longer than it has to, and another comes in its place. */
    void drainAndReplace(SimulatedChecker one, long longer) {
        logFault(one.id() + " leaves and serves on for " + longer / 1000 + " ms more");
        one.drain(longer);
        replaceOnceEnded(one, one.machine(), random.nextInt(2));
    }

    List<SimulatedChecker> checkers() {
        return checkers;
    }

    private void injectCoreFault(int kind) {
        Deployment.DeployedNode node = randomNode(deployment.cores());
        long length = SECOND + random.nextInt(3_500_000);
        switch (kind) {
            case 0 -> {
                logFault(node.name() + " is killed for " + length / 1000 + " ms");
                noteCoreFault(node, length + SECOND, false);
                node.kill(length);
            }
            case 1 -> {
                logFault("all of the core is killed");
                noteCoreFault(null, 2 * SECOND, true);
                deployment.cores().forEach(core -> core.kill(300_000 + random.nextInt(600_000)));
            }
            case 2, 3 -> {
                boolean wiped = kind == 3;
                coreHealthyAt = world.now() + 10 * SECOND;
                onNextAcknowledgement = () -> {
                    logFault(node.name() + " loses power" + (wiped ? " and its disk" : "") + " after a 200");
                    noteCoreFault(node, length + SECOND, false);
                    node.losePower(length, wiped);
                };
            }
            case 4, 5, 6 -> {
                logFault(node.name() + " is cut off, way " + kind + ", " + length / 1000 + " ms");
                noteCoreFault(node, length, false);
                partition(node, length, kind != 6, kind != 5, random.nextBoolean());
            }
            case 22 -> {
                boolean all = random.nextBoolean();
                onNextDrainAcknowledgement = acked -> {
                    logFault(
                            all
                                    ? "all of the core is killed after a drain was acknowledged"
                                    : acked.name() + " loses power after it has acknowledged a drain");
                    if (all) {
                        noteCoreFault(null, 2 * SECOND, true);
                        deployment.cores().forEach(core -> core.kill(500_000));
                    } else {
                        noteCoreFault(acked, length + SECOND, false);
                        acked.losePower(length, false);
                    }
                };
                if (!checkers.isEmpty()) {
                    injectCheckerFault(18);
                }
            }
            case 7 -> {
                logFault(node.name() + " has a slow disk");
                noteCoreFault(node, length, false);
                node.machine().disk().setSyncMicros(60_000);
                world.scheduleAfter(length, () -> node.machine().disk().setSyncMicros(1_000));
            }
            case 8 -> {
                logFault(node.name() + " has a full disk");
                noteCoreFault(node, length, false);
                node.machine().disk().setFull(true);
                world.scheduleAfter(length, () -> node.machine().disk().setFull(false));
            }
            case 9 -> {
                logFault(node.name() + " has a disk that hangs");
                noteCoreFault(node, length, false);
                node.machine().disk().hangUntil(world.now() + length);
            }
            default -> {
                logFault(node.name() + " is frozen for " + length / 1000 + " ms");
                noteCoreFault(node, length, false);
                node.freeze(length);
            }
        }
    }

    /** Between a machine and others of the system nothing goes out, comes in, or neither. */
    private void partition(Deployment.DeployedNode node, long length, boolean out, boolean in, boolean coreOnly) {
        List<Deployment.DeployedNode> others = new ArrayList<>(deployment.cores());
        if (!coreOnly) {
            others.addAll(deployment.proxies());
        }
        others.remove(node);
        for (Deployment.DeployedNode other : others) {
            if (out) {
                world.partition(node.machine(), other.machine());
            }
            if (in) {
                world.partition(other.machine(), node.machine());
            }
        }
        world.scheduleAfter(
                length,
                () -> others.forEach(other -> {
                    world.heal(node.machine(), other.machine());
                    world.heal(other.machine(), node.machine());
                }));
    }

    private void injectProxyFault(int kind) {
        Deployment.DeployedNode node = randomNode(deployment.proxies());
        long length = SECOND + random.nextInt(3_500_000);
        switch (kind) {
            case 11 -> {
                logFault(node.name() + " is killed");
                invariants.addMachineFault(node.name(), world.now(), world.now() + length + SECOND);
                node.kill(length);
            }
            case 12 -> {
                logFault("half of the proxies are killed");
                for (Deployment.DeployedNode each : deployment.proxies()) {
                    if (random.nextBoolean()) {
                        invariants.addMachineFault(each.name(), world.now(), world.now() + 2 * SECOND);
                        each.kill(SECOND);
                    }
                }
            }
            case 13 -> rollingRestart(0, Math.max(2, deployment.proxies().size() / 3));
            case 14 -> {
                logFault(node.name() + " is cut off");
                invariants.addMachineFault(node.name(), world.now(), world.now() + length);
                partition(node, length, true, true, false);
            }
            case 15 -> {
                logFault(node.name() + " is frozen");
                invariants.addMachineFault(node.name(), world.now(), world.now() + length);
                node.freeze(length);
            }
            default -> {
                logFault(node.name() + " loses power");
                invariants.addMachineFault(node.name(), world.now(), world.now() + length + SECOND);
                node.losePower(length, false);
            }
        }
    }

    private void rollingRestart(int from, int many) {
        if (from < many) {
            Deployment.DeployedNode node = deployment.proxies().get(from);
            logFault(node.name() + " is told to end");
            invariants.addMachineFault(node.name(), world.now() + 6 * SECOND, world.now() + 8 * SECOND);
            node.terminate(300_000);
            world.scheduleAfter(1_300_000, () -> rollingRestart(from + 1, many));
        }
    }

    private void injectCheckerFault(int kind) {
        if (checkers.size() < 5) {
            return;
        }
        SimulatedChecker one = checkers.get(random.nextInt(checkers.size()));
        SimulatedMachine machine = one.machine();
        int service = random.nextInt(2);
        if (one.isDraining()) {
            return;
        }
        switch (kind) {
            case 17 -> {
                logFault(one.id() + " crashes");
                one.crash();
                world.scheduleAfter(2 * SECOND, () -> startChecker(machine, service));
            }
            case 18, 19 -> {
                logFault(one.id() + " leaves, and its address goes to another");
                one.drain();
                replaceOnceEnded(one, machine, service);
            }
            case 20 -> {
                if (random.nextBoolean()) {
                    logFault("one tenant sends many times its usual");
                    surge(configurations.planRequest().tenant(), world.now() + 5 * SECOND);
                    return;
                }
                logFault("answers are lost");
                checkers.forEach(checker -> checker.loseResponses(0.04));
                world.scheduleAfter(4 * SECOND, () -> checkers.forEach(checker -> checker.loseResponses(0)));
            }
            default -> {
                logFault(one.id() + " is killed, and its address goes to another at once");
                one.crash();
                world.scheduleAfter(SECOND * 2, () -> startChecker(machine, 1 - service));
            }
        }
    }

    void surge(String tenant, long until) {
        for (int i = 0; i < SURGE_REQUESTS; i++) {
            clients.request(configurations.planRequest(tenant));
        }
        if (world.now() < until) {
            world.scheduleAfter(SURGE_INTERVAL_MICROS, () -> surge(tenant, until));
        }
    }

    private void replaceOnceEnded(SimulatedChecker before, SimulatedMachine machine, int service) {
        world.scheduleAfter(2 * SECOND, () -> {
            if (before.isAlive()) {
                replaceOnceEnded(before, machine, service);
            } else {
                startChecker(machine, service);
            }
        });
    }

    /** The closing fault, right after an acknowledgement. */
    private void injectClosingFault() {
        List<Deployment.DeployedNode> all = new ArrayList<>(deployment.cores());
        all.addAll(deployment.proxies());
        long back = 500_000 + random.nextInt(1_500_000);
        int kind = random.nextInt(3);
        Deployment.DeployedNode wiped = kind == 2 ? randomNode(deployment.cores()) : null;
        logFault(
                kind == 0
                        ? "all processes are killed"
                        : "all lose power" + (wiped == null ? "" : ", and " + wiped.name() + " its disk"));
        invariants.addCoreFault(world.now(), world.now() + back + SECOND, true);
        for (Deployment.DeployedNode node : all) {
            invariants.addMachineFault(node.name(), world.now(), world.now() + back + SECOND);
            if (kind == 0) {
                node.kill(back);
            } else {
                node.losePower(back, node == wiped);
            }
        }
        world.scheduleAfter(back + RECOVERY_MICROS, clients::countFromNow);
    }
}
