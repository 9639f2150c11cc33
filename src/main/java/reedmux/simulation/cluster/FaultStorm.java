package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Injects faults of one category throughout a run, while two operators continuously change the configuration
 * ({@link StormTraffic}). The categories have these numbers:
 *
 * <ol>
 *   <li>partitions that isolate a minority of the core together with some proxies;
 *   <li>stops of a control machine that has just been sent or has just acknowledged a change;
 *   <li>losses of machines, each as soon as the previous one is repaired;
 *   <li>a core machine that is down while hundreds of changes are made;
 *   <li>late, duplicate or incomplete responses of checkers, and drains that a partition or power loss interrupts.
 * </ol>
 */
final class FaultStorm {
    private static final long SECOND = 1_000_000;
    private static final long LONG_PARTITION_MICROS = 20 * SECOND;
    /** How long a restarted or new machine still counts as failed. */
    private static final long CONVERGENCE_MICROS = 4 * SECOND;

    private final SimulatedRun run;
    private final int category;
    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants;
    private final ConfigurationGenerator configurations;
    private final List<SimulatedOperator> operators;
    private final Random random;
    private final StormTraffic traffic;
    private final boolean replacesAddresses;
    /** All addresses that core machines have or had, the newest last. */
    private final Set<String> coreAddresses = new LinkedHashSet<>();

    private long until;
    private int replacements;

    FaultStorm(
            SimulatedRun run,
            int category,
            boolean replacesAddresses,
            ClusterSimulation simulation,
            Deployment deployment,
            ClusterInvariantChecker invariants,
            ConfigurationGenerator configurations,
            List<SimulatedOperator> operators,
            Random random) {
        this.run = run;
        this.category = category;
        this.replacesAddresses = replacesAddresses;
        this.simulation = simulation;
        this.deployment = deployment;
        this.invariants = invariants;
        this.configurations = configurations;
        this.operators = operators;
        this.random = random;
        traffic = new StormTraffic(run, category, simulation, deployment, configurations, operators, random);
    }

    /** Injects faults and sends changes from now on; none are scheduled in the last second before {@code end}. */
    void start(long end) {
        until = end - SECOND;
        deployment.coreNodes().forEach(core -> coreAddresses.add(core.machine().ip()));
        traffic.start(until);
        simulation.scheduleAfter(SECOND, this::injectFaults);
    }

    private long randomDelayMicros(int bound) {
        return random.nextInt(bound);
    }

    private void injectFaults() {
        if (simulation.now() > until - 2 * SECOND) {
            return;
        }
        if (run.isCoreHealthy() && !traffic.hasPendingAction()) {
            switch (category) {
                case 1 -> injectContactFault();
                case 2 -> injectChangeFault();
                case 3 -> injectRepairFault();
                case 4 -> injectLongOutage();
                default -> injectResponseFault();
            }
        }
        simulation.scheduleAfter(250_000 + randomDelayMicros(500_000), this::injectFaults);
    }

    private Deployment.DeployedNode randomCore() {
        return deployment.coreNodes().get(random.nextInt(deployment.coreNodes().size()));
    }

    private void injectContactFault() {
        long length = Math.min(
                random.nextInt(4) > 0 ? LONG_PARTITION_MICROS : 3 * SECOND + randomDelayMicros(17_000_000),
                until - simulation.now());
        switch (random.nextInt(8)) {
            case 0 -> freeze(randomCore(), length);
            case 1 -> {
                run.logFault("all of the core is killed");
                killCore(300_000 + randomDelayMicros(600_000));
            }
            case 2, 3 -> partition(lastAcknowledger(), length);
            case 4 -> traffic.onNextAcknowledgement(() -> partition(lastAcknowledger(), length));
            default -> partition(randomCore(), length);
        }
    }

    private Deployment.DeployedNode lastAcknowledger() {
        String ip = operators.get(random.nextInt(operators.size())).lastAcknowledgedBy();
        return deployment.coreNodes().stream()
                .filter(core -> core.machine().ip().equals(ip))
                .findFirst()
                .orElseGet(this::randomCore);
    }

    private void freeze(Deployment.DeployedNode node, long durationMicros) {
        run.logFault(node.name() + " is frozen for " + durationMicros / 1000 + " ms");
        run.noteCoreFault(node, durationMicros, false);
        node.freeze(durationMicros);
    }

    private void killCore(long downMicros) {
        run.noteCoreFault(null, downMicros + SECOND, true);
        deployment.coreNodes().forEach(core -> core.kill(downMicros));
    }

    /**
     * Partitions a minority of the core with some proxies from the other nodes, and kills some of these proxies during
     * the partition.
     */
    private void partition(Deployment.DeployedNode isolatedCore, long durationMicros) {
        partition(isolatedCore, durationMicros, random.nextInt(4) == 0);
    }

    private void partition(Deployment.DeployedNode isolatedCore, long durationMicros, boolean coreOnly) {
        List<Deployment.DeployedNode> isolated = new ArrayList<>(List.of(isolatedCore));
        List<Deployment.DeployedNode> others = new ArrayList<>(deployment.coreNodes());
        others.remove(isolatedCore);
        if (deployment.coreNodes().size() > 4 && random.nextBoolean()) {
            isolated.add(others.remove(random.nextInt(others.size())));
        }
        int isolatedCoreCount = isolated.size();
        boolean dropsOutbound = random.nextInt(6) > 0;
        boolean dropsInbound = !dropsOutbound || random.nextInt(6) > 0;
        List<Deployment.DeployedNode> isolatedProxies = new ArrayList<>();
        for (Deployment.DeployedNode proxy : coreOnly ? List.<Deployment.DeployedNode>of() : deployment.proxies()) {
            boolean joinsIsolated =
                    proxy.machine().zone().equals(isolatedCore.machine().zone()) || random.nextInt(8) == 0;
            (joinsIsolated ? isolatedProxies : others).add(proxy);
        }
        isolated.addAll(isolatedProxies);
        run.logFault(isolated.stream().map(Deployment.DeployedNode::name).toList() + " are partitioned for "
                + durationMicros / 1000 + " ms" + (dropsOutbound ? "" : ", inbound only")
                + (dropsInbound ? "" : ", outbound only"));
        run.noteCoreFault(null, durationMicros, false);
        for (Deployment.DeployedNode isolatedNode : isolated) {
            invariants.addMachineFault(isolatedNode.name(), simulation.now(), simulation.now() + durationMicros);
            invariants.addMachineFault(
                    isolatedNode.machine().ip(), simulation.now(), simulation.now() + durationMicros);
            if (dropsOutbound && dropsInbound) {
                invariants.addMinoritySpan(isolatedNode.name(), simulation.now(), simulation.now() + durationMicros);
            }
            for (Deployment.DeployedNode otherNode : others) {
                if (dropsOutbound) {
                    simulation.partition(isolatedNode.machine(), otherNode.machine());
                }
                if (dropsInbound) {
                    simulation.partition(otherNode.machine(), isolatedNode.machine());
                }
            }
        }
        simulation.scheduleAfter(
                durationMicros,
                () -> isolated.forEach(isolatedNode -> others.forEach(otherNode -> {
                    simulation.heal(isolatedNode.machine(), otherNode.machine());
                    simulation.heal(otherNode.machine(), isolatedNode.machine());
                })));
        List<String> seeds = new ArrayList<>();
        isolated.subList(0, isolatedCoreCount)
                .forEach(core -> seeds.add(core.machine().ip()));
        seeds.add(others.get(0).machine().ip());
        for (Deployment.DeployedNode proxy : isolatedProxies) {
            if (durationMicros > 4 * SECOND && random.nextBoolean()) {
                simulation.scheduleAfter(SECOND + randomDelayMicros((int) (durationMicros - 3 * SECOND)), () -> {
                    run.logFault(proxy.name() + " is killed during its partition");
                    proxy.setSeeds(random.nextBoolean() ? seeds : null);
                    proxy.kill(500_000);
                });
            }
        }
    }

    private void injectChangeFault() {
        long length = 500_000 + randomDelayMicros(3_000_000);
        switch (random.nextInt(7)) {
            case 0, 1 ->
                traffic.onNextChangeSent(node -> simulation.scheduleAfter(
                        randomDelayMicros(4) == 0 ? randomDelayMicros(2_000) : randomDelayMicros(60_000), () -> {
                            run.logFault(node.name() + " is killed after it was sent a change");
                            run.noteCoreFault(node, length + SECOND, false);
                            node.kill(length);
                        }));
            case 2 ->
                traffic.onNextChangeSent(node -> simulation.scheduleAfter(randomDelayMicros(30_000), () -> {
                    boolean wiped = random.nextInt(3) == 0;
                    run.logFault(
                            node.name() + " loses power after it was sent a change" + (wiped ? ", and its disk" : ""));
                    run.noteCoreFault(node, length + SECOND, false);
                    node.losePower(length, wiped);
                }));
            case 3 -> partition(randomCore(), SECOND + randomDelayMicros(4_000_000));
            case 4 -> freeze(randomCore(), SECOND + randomDelayMicros(19_000_000));
            case 5 ->
                traffic.onNextAcknowledgement(() -> {
                    run.logFault("all of the core is killed after a change was acknowledged");
                    killCore(300_000 + randomDelayMicros(600_000));
                });
            default -> partition(lastAcknowledger(), length);
        }
    }

    /** Stops a core machine and a proxy; the next fault may follow as soon as the core machine counts as repaired. */
    private void injectRepairFault() {
        Deployment.DeployedNode node = randomCore();
        long length = 500_000 + randomDelayMicros(2_500_000);
        int kind = random.nextInt(replacesAddresses ? 8 : 5);
        if (kind == 0) {
            traffic.onNextAcknowledgement(() -> losePowerEverywhere(300_000 + randomDelayMicros(600_000)));
            return;
        }
        node.setSeeds(drawSeeds(node));
        Deployment.DeployedNode proxy =
                deployment.proxies().get(random.nextInt(deployment.proxies().size()));
        proxy.setSeeds(drawSeeds(node));
        invariants.addMachineFault(proxy.name(), simulation.now(), simulation.now() + length + SECOND);
        run.noteCoreFault(node, length + CONVERGENCE_MICROS, false);
        proxy.kill(length);
        if (kind < 4) {
            boolean wiped = kind > 1;
            run.logFault(node.name() + " loses power" + (wiped ? " and its disk" : ""));
            node.losePower(length, wiped);
        } else if (kind == 4) {
            run.logFault(node.name() + " is killed");
            node.kill(length);
        } else {
            String ip = "10.1." + deployment.coreNodes().indexOf(node) + '.' + (11 + replacements++);
            boolean withDisk = kind == 5;
            String name = withDisk || random.nextBoolean() ? node.name() : "core-" + ip;
            run.logFault(node.name() + " is replaced by " + name + " at " + ip + (withDisk ? " with its disk" : ""));
            coreAddresses.add(ip);
            node.replace(ip, name, withDisk, length);
        }
        run.setCoreHealthyAt(simulation.now() + length + CONVERGENCE_MICROS);
    }

    /**
     * Draws three current or former core addresses as seeds. At least one of them belongs to a current core machine
     * other than {@code endingNode}.
     */
    private List<String> drawSeeds(Deployment.DeployedNode endingNode) {
        List<String> all = new ArrayList<>(coreAddresses);
        java.util.Collections.shuffle(all, random);
        List<Deployment.DeployedNode> others = new ArrayList<>(deployment.coreNodes());
        others.remove(endingNode);
        String currentAddress =
                others.get(random.nextInt(others.size())).machine().ip();
        all.remove(currentAddress);
        all.add(random.nextInt(Math.min(3, all.size() + 1)), currentAddress);
        return all.subList(0, Math.min(3, all.size()));
    }

    private void losePowerEverywhere(long downMicros) {
        run.logFault("all machines lose power");
        run.noteCoreFault(null, downMicros + SECOND, true);
        deployment.coreNodes().forEach(core -> core.losePower(downMicros, false));
        deployment.proxies().forEach(proxy -> {
            invariants.addMachineFault(proxy.name(), simulation.now(), simulation.now() + downMicros + SECOND);
            proxy.losePower(downMicros, false);
        });
    }

    private void injectLongOutage() {
        Deployment.DeployedNode node = randomCore();
        long length = 12 * SECOND + randomDelayMicros(8_000_000);
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> {
                int kind = random.nextInt(3);
                run.logFault(node.name() + (kind == 0 ? " is killed" : kind == 1 ? " loses power" : " loses its disk")
                        + " for " + length / 1000 + " ms");
                run.noteCoreFault(node, length + SECOND, false);
                if (kind == 0) {
                    node.kill(length);
                } else {
                    node.losePower(length, kind == 2);
                }
            }
            case 3 -> {
                run.logFault("all of the core is killed");
                killCore(300_000 + randomDelayMicros(600_000));
            }
            case 4 -> traffic.onNextAcknowledgement(() -> losePowerEverywhere(300_000 + randomDelayMicros(600_000)));
            case 5 -> {
                run.logFault(node.name() + " is killed, and its disk is full when it restarts");
                run.noteCoreFault(node, 6 * SECOND, false);
                node.machine().disk().setFull(true);
                node.kill(SECOND);
                simulation.scheduleAfter(5 * SECOND, () -> node.machine().disk().setFull(false));
            }
            case 6 -> {
                long slow = 2 * SECOND + randomDelayMicros(4_000_000);
                run.logFault(node.name() + " has a slow disk for " + slow / 1000 + " ms");
                run.noteCoreFault(node, slow, false);
                node.machine().disk().setSyncMicros(60_000);
                simulation.scheduleAfter(slow, () -> node.machine().disk().setSyncMicros(1_000));
            }
            default -> freeze(node, length);
        }
    }

    private void injectResponseFault() {
        long length = 2 * SECOND + randomDelayMicros(4_000_000);
        SimulatedChecker drainedChecker = run.checkers().isEmpty()
                ? null
                : run.checkers().get(random.nextInt(run.checkers().size()));
        switch (random.nextInt(8)) {
            case 0 -> partition(randomCore(), length);
            case 1 -> freeze(randomCore(), length);
            case 2, 3, 4 -> {
                if (drainedChecker == null
                        || drainedChecker.isDraining()
                        || run.checkers().size() < 5) {
                    return;
                }
                boolean partitions = random.nextBoolean();
                run.onNextDrainAcknowledgement(acknowledger -> {
                    if (partitions) {
                        partition(acknowledger, LONG_PARTITION_MICROS / 2, true);
                    } else {
                        run.logFault(acknowledger.name() + " loses power after it acknowledged a drain");
                        run.noteCoreFault(acknowledger, length + SECOND, false);
                        acknowledger.losePower(length, false);
                    }
                });
                run.drainAndReplace(drainedChecker, 2 * SECOND + randomDelayMicros(10_000_000));
                run.setCoreHealthyAt(simulation.now());
            }
            case 5 -> {
                run.logFault("one tenant sends many times its usual request rate");
                run.surge(configurations.planRequest().tenant(), simulation.now() + 5 * SECOND);
                run.setCoreHealthyAt(simulation.now() + 4 * SECOND);
            }
            default -> {
                run.logFault("checkers send late, duplicate, incomplete or no responses");
                run.checkers().forEach(checker -> checker.sendFaultyResponses(0.05));
                run.setCoreHealthyAt(simulation.now() + length);
                simulation.scheduleAfter(
                        length, () -> run.checkers().forEach(checker -> checker.sendFaultyResponses(0)));
            }
        }
    }
}
