package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Injects faults of all kinds at random times into a simulated run. Core machines fail one at a time and only while the
 * core is healthy; proxies and checkers fail at any time. Times are microseconds.
 */
final class RandomFaults {
    private static final long SECOND = 1_000_000;
    /**
     * Number of fault kinds. Core faults are numbered below {@link #FIRST_PROXY_KIND} and above
     * {@link #LAST_CHECKER_KIND}; between them are the faults of proxies and then those of checkers.
     */
    private static final int KINDS = 24;

    private static final int FIRST_PROXY_KIND = 11;
    private static final int FIRST_CHECKER_KIND = 17;
    private static final int LAST_CHECKER_KIND = 21;
    private static final int DRAIN_KIND = 18;
    /** No fault of a checker is injected while fewer checkers than this are running. */
    private static final int MIN_CHECKERS = 5;

    private static final int MICROS_PER_MILLI = 1000;

    private final SimulatedRun run;
    private final SimulatedRun.RunOptions options;
    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants;
    private final ConfigurationGenerator configurations;
    private final CheckerFleet checkers;
    private final Random random;

    RandomFaults(
            SimulatedRun run,
            SimulatedRun.RunOptions options,
            ClusterSimulation simulation,
            Deployment deployment,
            ClusterInvariantChecker invariants,
            ConfigurationGenerator configurations,
            CheckerFleet checkers,
            Random random) {
        this.run = run;
        this.options = options;
        this.simulation = simulation;
        this.deployment = deployment;
        this.invariants = invariants;
        this.configurations = configurations;
        this.checkers = checkers;
        this.random = random;
    }

    /** Injects faults from now on until the simulated time {@code until}. */
    void start(long until) {
        if (simulation.now() > until) {
            return;
        }
        int kind = random.nextInt(options.storm() ? FIRST_PROXY_KIND : KINDS);
        if (kind < FIRST_PROXY_KIND || kind > LAST_CHECKER_KIND) {
            if (run.isCoreHealthy()) {
                injectCoreFault(kind);
            }
        } else if (kind < FIRST_CHECKER_KIND) {
            injectProxyFault(kind);
        } else {
            injectCheckerFault(kind);
        }
        simulation.scheduleAfter(SECOND + random.nextInt(3_000_000), () -> start(until));
    }

    private Deployment.DeployedNode randomNode(List<Deployment.DeployedNode> nodes) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    // ---- Core --------------------------------------------------------------------------------------
    private void injectCoreFault(int kind) {
        Deployment.DeployedNode node = randomNode(deployment.coreNodes());
        long length = SECOND + random.nextInt(3_500_000);
        switch (kind) {
            case 0 -> {
                run.logFault(node.name() + " is killed for " + length / MICROS_PER_MILLI + " ms");
                run.noteCoreFault(node, length + SECOND, false);
                node.kill(length);
            }
            case 1 -> {
                run.logFault("all of the core is killed");
                run.noteCoreFault(null, 2 * SECOND, true);
                deployment.coreNodes().forEach(core -> core.kill(300_000 + random.nextInt(600_000)));
            }
            case 2, 3 -> losePowerAfterAcknowledgement(node, length, kind == 3);
            case 4, 5, 6 -> {
                // kind 4 drops both directions, 5 only outbound and 6 only inbound traffic
                run.logFault(node.name() + " is partitioned (fault kind " + kind + ") for " + length / MICROS_PER_MILLI
                        + " ms");
                run.noteCoreFault(node, length, false);
                partition(node, length, kind != 6, kind != 5, random.nextBoolean());
            }
            case 7, 8, 9 -> injectDiskFault(kind, node, length);
            case 22 -> stopCoreAfterDrain(length);
            default -> {
                run.logFault(node.name() + " is frozen for " + length / MICROS_PER_MILLI + " ms");
                run.noteCoreFault(node, length, false);
                node.freeze(length);
            }
        }
    }

    private void losePowerAfterAcknowledgement(Deployment.DeployedNode node, long length, boolean wiped) {
        run.setCoreHealthyAt(simulation.now() + 10 * SECOND);
        run.onNextAcknowledgement(() -> {
            run.logFault(
                    node.name() + " loses power" + (wiped ? " and its disk" : "") + " after a change was acknowledged");
            run.noteCoreFault(node, length + SECOND, false);
            node.losePower(length, wiped);
        });
    }

    private void injectDiskFault(int kind, Deployment.DeployedNode node, long length) {
        SimulatedDisk disk = node.machine().disk();
        switch (kind) {
            case 7 -> {
                run.logFault(node.name() + " has a slow disk");
                run.noteCoreFault(node, length, false);
                disk.setSyncMicros(60_000);
                simulation.scheduleAfter(length, () -> node.machine().disk().setSyncMicros(1_000));
            }
            case 8 -> {
                run.logFault(node.name() + " has a full disk");
                run.noteCoreFault(node, length, false);
                disk.setFull(true);
                simulation.scheduleAfter(length, () -> node.machine().disk().setFull(false));
            }
            default -> {
                run.logFault(node.name() + " has a hanging disk");
                run.noteCoreFault(node, length, false);
                disk.hangUntil(simulation.now() + length);
            }
        }
    }

    /** Drains a checker, and stops the control machine that acknowledges the drain, or the whole core. */
    private void stopCoreAfterDrain(long length) {
        boolean all = random.nextBoolean();
        run.onNextDrainAcknowledgement(acknowledger -> {
            if (all) {
                run.logFault("all of the core is killed after a drain was acknowledged");
                run.noteCoreFault(null, 2 * SECOND, true);
                deployment.coreNodes().forEach(core -> core.kill(500_000));
            } else {
                run.logFault(acknowledger.name() + " loses power after it has acknowledged a drain");
                run.noteCoreFault(acknowledger, length + SECOND, false);
                acknowledger.losePower(length, false);
            }
        });
        if (!checkers.all().isEmpty()) {
            injectCheckerFault(DRAIN_KIND);
        }
    }

    /** Partitions a machine from the other nodes for outbound traffic, inbound traffic or both. */
    private void partition(
            Deployment.DeployedNode node,
            long durationMicros,
            boolean dropsOutbound,
            boolean dropsInbound,
            boolean coreOnly) {
        List<Deployment.DeployedNode> others = new ArrayList<>(deployment.coreNodes());
        if (!coreOnly) {
            others.addAll(deployment.proxies());
        }
        others.remove(node);
        for (Deployment.DeployedNode other : others) {
            if (dropsOutbound) {
                simulation.partition(node.machine(), other.machine());
            }
            if (dropsInbound) {
                simulation.partition(other.machine(), node.machine());
            }
        }
        simulation.scheduleAfter(
                durationMicros,
                () -> others.forEach(other -> {
                    simulation.heal(node.machine(), other.machine());
                    simulation.heal(other.machine(), node.machine());
                }));
    }

    // ---- Proxies -----------------------------------------------------------------------------------
    private void injectProxyFault(int kind) {
        Deployment.DeployedNode node = randomNode(deployment.proxies());
        long length = SECOND + random.nextInt(3_500_000);
        switch (kind) {
            case 11 -> {
                run.logFault(node.name() + " is killed");
                invariants.addMachineFault(node.name(), simulation.now(), simulation.now() + length + SECOND);
                node.kill(length);
            }
            case 12 -> {
                run.logFault("half of the proxies are killed");
                for (Deployment.DeployedNode each : deployment.proxies()) {
                    if (random.nextBoolean()) {
                        invariants.addMachineFault(each.name(), simulation.now(), simulation.now() + 2 * SECOND);
                        each.kill(SECOND);
                    }
                }
            }
            case 13 -> rollingRestart(0, Math.max(2, deployment.proxies().size() / 3));
            case 14 -> {
                run.logFault(node.name() + " is partitioned");
                invariants.addMachineFault(node.name(), simulation.now(), simulation.now() + length);
                partition(node, length, true, true, false);
            }
            case 15 -> {
                run.logFault(node.name() + " is frozen");
                invariants.addMachineFault(node.name(), simulation.now(), simulation.now() + length);
                node.freeze(length);
            }
            default -> {
                run.logFault(node.name() + " loses power");
                invariants.addMachineFault(node.name(), simulation.now(), simulation.now() + length + SECOND);
                node.losePower(length, false);
            }
        }
    }

    /** Gracefully restarts the proxies from index {@code next} up to {@code count}, one after the other. */
    private void rollingRestart(int next, int count) {
        if (next < count) {
            Deployment.DeployedNode node = deployment.proxies().get(next);
            run.logFault(node.name() + " is shut down gracefully");
            invariants.addMachineFault(node.name(), simulation.now() + 6 * SECOND, simulation.now() + 8 * SECOND);
            node.terminate(300_000);
            simulation.scheduleAfter(1_300_000, () -> rollingRestart(next + 1, count));
        }
    }

    // ---- Checkers ----------------------------------------------------------------------------------
    private void injectCheckerFault(int kind) {
        List<SimulatedChecker> all = checkers.all();
        if (all.size() < MIN_CHECKERS) {
            return;
        }
        SimulatedChecker checker = all.get(random.nextInt(all.size()));
        SimulatedMachine machine = checker.machine();
        int service = random.nextInt(2);
        if (checker.isDraining()) {
            return;
        }
        switch (kind) {
            case 17 -> {
                run.logFault(checker.id() + " crashes");
                checker.crash();
                simulation.scheduleAfter(2 * SECOND, () -> checkers.start(machine, service));
            }
            case 18, 19 -> {
                run.logFault(checker.id() + " drains, and another checker reuses its address");
                checker.drain();
                checkers.replaceOnceEnded(checker, machine, service);
            }
            case 20 -> {
                if (random.nextBoolean()) {
                    run.logFault("one tenant sends many times its usual request rate");
                    run.surge(configurations.planRequest().tenant(), simulation.now() + 5 * SECOND);
                    return;
                }
                run.logFault("checkers lose responses");
                all.forEach(each -> each.loseResponses(0.04));
                simulation.scheduleAfter(4 * SECOND, () -> all.forEach(each -> each.loseResponses(0)));
            }
            default -> {
                run.logFault(checker.id() + " is killed, and another checker soon reuses its address");
                checker.crash();
                simulation.scheduleAfter(SECOND * 2, () -> checkers.start(machine, 1 - service));
            }
        }
    }
}
