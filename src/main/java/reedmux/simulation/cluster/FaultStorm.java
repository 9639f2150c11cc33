package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.simulation.cluster.ClusterInvariantChecker.ExpectedDecision;

/**
 * What makes up a day that is named after one of the operators' five points: 1 contact with a majority, 2 one
 * number and one content, 3 losses right after a repair, 4 hundreds of changes past a machine that is away,
 * 5 answers of checkers that come late, twice or in part.
 */
final class FaultStorm {
    private static final long SECOND = 1_000_000;
    private static final long LONG_PARTITION_MICROS = 20 * SECOND;
    /** A machine that is back, or new, counts as lost for so long. */
    private static final long CONVERGENCE_MICROS = 4 * SECOND;

    private static final int MAX_PENDING_CHANGES = 8;
    private final SimulatedDay day;
    private final int point;
    private final ClusterSimulation world;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants;
    private final ConfigurationGenerator configurations;
    private final List<SimulatedOperator> operators;
    private final Random random;
    private final boolean replacesAddresses;
    /** Addresses that have been the core's, the newest last. */
    private final Set<String> coreAddresses = new LinkedHashSet<>();

    private long until;
    private int replacements;
    private Runnable onNextAcknowledgement;
    private Consumer<Deployment.DeployedNode> onNextChangeSent;

    FaultStorm(
            SimulatedDay day,
            int point,
            boolean readdresses,
            ClusterSimulation world,
            Deployment deployment,
            ClusterInvariantChecker watch,
            ConfigurationGenerator settings,
            List<SimulatedOperator> operators,
            Random random) {
        this.day = day;
        this.point = point;
        this.replacesAddresses = readdresses;
        this.world = world;
        this.deployment = deployment;
        this.invariants = watch;
        this.configurations = settings;
        this.operators = operators;
        this.random = random;
    }

    void begin(long end) {
        until = end - SECOND;
        deployment.cores().forEach(core -> coreAddresses.add(core.machine().ip()));
        for (SimulatedOperator operator : operators) {
            operator.loseResponses(
                    point == 2 ? 0.2 : 0.03, SECOND + random.nextInt(point == 2 ? 15_000_000 : 4_000_000));
            operator.onSent(ip -> {
                Consumer<Deployment.DeployedNode> then = onNextChangeSent;
                if (then != null && day.isCoreHealthy()) {
                    onNextChangeSent = null;
                    deployment.cores().stream()
                            .filter(core -> core.machine().ip().equals(ip))
                            .findFirst()
                            .ifPresent(then);
                }
            });
        }
        sendChanges();
        sendReads();
        world.scheduleAfter(SECOND, this::injectFaults);
    }

    // ---- The operators -----------------------------------------------------------------------------
    private void sendChanges() {
        if (world.now() > until) {
            return;
        }
        if (operators.stream().mapToInt(SimulatedOperator::pendingChanges).sum() < MAX_PENDING_CHANGES) {
            sendChange(operators.get(random.nextInt(operators.size())));
        }
        long mean = point == 4 ? 100_000 : point == 2 ? 150_000 : 400_000;
        world.scheduleAfter(mean / 2 + random.nextInt((int) mean), this::sendChanges);
    }

    private void sendChange(SimulatedOperator one) {
        SimulatedOperator other = operators.get(1 - operators.indexOf(one));
        int kind = random.nextInt(point == 2 ? 10 : 14);
        if (kind == 0) {
            send(one, configurations.invalidChange(), ExpectedDecision.REJECT, 0, () -> {});
        } else if (kind == 1) {
            var pair = configurations.concurrentPair();
            ExpectedDecision proper = pair.getKey() ? ExpectedDecision.ACCEPT : ExpectedDecision.EITHER;
            send(one, pair.getValue().get(0), proper, 0, () -> {});
            send(other, pair.getValue().get(1), proper, randomDelayMicros(20_000), () -> {});
        } else if (kind < 4 && point == 2) {
            List<String> pair = configurations.conflictingPair();
            send(one, pair.get(0), ExpectedDecision.EITHER, 0, () -> {});
            send(
                    other,
                    pair.get(1),
                    ExpectedDecision.EITHER,
                    random.nextBoolean() ? randomDelayMicros(20_000) : randomDelayMicros(5_000_000),
                    () -> {});
        } else if (kind < 6) {
            sendChain(one, configurations.dependentChain(), 0);
        } else if (kind == 6 && point == 4) {
            send(one, configurations.largeChange(), ExpectedDecision.ACCEPT, 0, () -> {});
        } else {
            send(one, configurations.validChange(), ExpectedDecision.ACCEPT, 0, () -> {});
        }
    }

    /** Each is sent once the one before was acknowledged, to whomever. */
    private void sendChain(SimulatedOperator operator, List<String> calls, int at) {
        if (at < calls.size()) {
            send(operator, calls.get(at), ExpectedDecision.ACCEPT, 0, () -> sendChain(operator, calls, at + 1));
        }
    }

    private void send(SimulatedOperator operator, String body, ExpectedDecision proper, long delay, Runnable acked) {
        world.scheduleAfter(
                delay,
                () -> operator.changeConfiguration(body, proper, ConfigurationGenerator::visibleEffect, status -> {
                    if (status == 200) {
                        acked.run();
                        Runnable then = onNextAcknowledgement;
                        if (then != null && day.isCoreHealthy()) {
                            onNextAcknowledgement = null;
                            then.run();
                        }
                    }
                }));
    }

    private void sendReads() {
        operators.get(random.nextInt(operators.size())).readOnce();
        if (world.now() < until) {
            world.scheduleAfter(100_000 + random.nextInt(300_000), this::sendReads);
        }
    }

    private long randomDelayMicros(int most) {
        return random.nextInt(most);
    }

    // ---- Troubles ----------------------------------------------------------------------------------
    private void injectFaults() {
        if (world.now() > until - 2 * SECOND) {
            return;
        }
        if (day.isCoreHealthy() && onNextAcknowledgement == null && onNextChangeSent == null) {
            switch (point) {
                case 1 -> injectContactFault();
                case 2 -> injectChangeFault();
                case 3 -> injectRepairFault();
                case 4 -> injectAbsence();
                default -> injectResponseFault();
            }
        }
        world.scheduleAfter(250_000 + randomDelayMicros(500_000), this::injectFaults);
    }

    private Deployment.DeployedNode randomCore() {
        return deployment.cores().get(random.nextInt(deployment.cores().size()));
    }

    private void injectContactFault() {
        long length = Math.min(
                random.nextInt(4) > 0 ? LONG_PARTITION_MICROS : 3 * SECOND + randomDelayMicros(17_000_000),
                until - world.now());
        switch (random.nextInt(8)) {
            case 0 -> freeze(randomCore(), length);
            case 1 -> {
                day.logFault("all of the core is killed");
                killCore(300_000 + randomDelayMicros(600_000));
            }
            case 2, 3 -> partition(lastAcknowledger(), length);
            case 4 -> onNextAcknowledgement = () -> partition(lastAcknowledger(), length);
            default -> partition(randomCore(), length);
        }
    }

    private Deployment.DeployedNode lastAcknowledger() {
        String ip = operators.get(random.nextInt(operators.size())).lastAcknowledgedBy();
        return deployment.cores().stream()
                .filter(core -> core.machine().ip().equals(ip))
                .findFirst()
                .orElseGet(this::randomCore);
    }

    private void freeze(Deployment.DeployedNode node, long length) {
        day.logFault(node.name() + " is frozen for " + length / 1000 + " ms");
        day.noteCoreFault(node, length, false);
        node.freeze(length);
    }

    private void killCore(long downFor) {
        day.noteCoreFault(null, downFor + SECOND, true);
        deployment.cores().forEach(core -> core.kill(downFor));
    }

    /** Less than half of the core is alone with some proxies, of which some are started there. */
    private void partition(Deployment.DeployedNode first, long length) {
        partition(first, length, random.nextInt(4) == 0);
    }

    private void partition(Deployment.DeployedNode first, long length, boolean coreOnly) {
        List<Deployment.DeployedNode> side = new ArrayList<>(List.of(first));
        List<Deployment.DeployedNode> rest = new ArrayList<>(deployment.cores());
        rest.remove(first);
        if (deployment.cores().size() > 4 && random.nextBoolean()) {
            side.add(rest.remove(random.nextInt(rest.size())));
        }
        int alone = side.size();
        boolean out = random.nextInt(6) > 0;
        boolean in = !out || random.nextInt(6) > 0;
        List<Deployment.DeployedNode> edges = new ArrayList<>();
        for (Deployment.DeployedNode edge : coreOnly ? List.<Deployment.DeployedNode>of() : deployment.proxies()) {
            boolean with = edge.machine().zone().equals(first.machine().zone()) || random.nextInt(8) == 0;
            (with ? edges : rest).add(edge);
        }
        side.addAll(edges);
        day.logFault(side.stream().map(Deployment.DeployedNode::name).toList() + " are cut off for " + length / 1000
                + " ms" + (out ? "" : ", not out") + (in ? "" : ", not in"));
        day.noteCoreFault(null, length, false);
        for (Deployment.DeployedNode one : side) {
            invariants.addMachineFault(one.name(), world.now(), world.now() + length);
            invariants.addMachineFault(one.machine().ip(), world.now(), world.now() + length);
            if (out && in) {
                invariants.addMinoritySpan(one.name(), world.now(), world.now() + length);
            }
            for (Deployment.DeployedNode other : rest) {
                if (out) {
                    world.partition(one.machine(), other.machine());
                }
                if (in) {
                    world.partition(other.machine(), one.machine());
                }
            }
        }
        world.scheduleAfter(
                length,
                () -> side.forEach(one -> rest.forEach(other -> {
                    world.heal(one.machine(), other.machine());
                    world.heal(other.machine(), one.machine());
                })));
        List<String> seeds = new ArrayList<>();
        side.subList(0, alone).forEach(core -> seeds.add(core.machine().ip()));
        seeds.add(rest.get(0).machine().ip());
        for (Deployment.DeployedNode edge : edges) {
            if (length > 4 * SECOND && random.nextBoolean()) {
                world.scheduleAfter(SECOND + randomDelayMicros((int) (length - 3 * SECOND)), () -> {
                    day.logFault(edge.name() + " is killed where it is cut off");
                    edge.setSeeds(random.nextBoolean() ? seeds : null);
                    edge.kill(500_000);
                });
            }
        }
    }

    private void injectChangeFault() {
        long length = 500_000 + randomDelayMicros(3_000_000);
        switch (random.nextInt(7)) {
            case 0, 1 ->
                onNextChangeSent = node -> world.scheduleAfter(
                        randomDelayMicros(4) == 0 ? randomDelayMicros(2_000) : randomDelayMicros(60_000), () -> {
                            day.logFault(node.name() + " is killed with an order in its hands");
                            day.noteCoreFault(node, length + SECOND, false);
                            node.kill(length);
                        });
            case 2 ->
                onNextChangeSent = node -> world.scheduleAfter(randomDelayMicros(30_000), () -> {
                    boolean wiped = random.nextInt(3) == 0;
                    day.logFault(
                            node.name() + " loses power with an order in its hands" + (wiped ? ", and its disk" : ""));
                    day.noteCoreFault(node, length + SECOND, false);
                    node.losePower(length, wiped);
                });
            case 3 -> partition(randomCore(), SECOND + randomDelayMicros(4_000_000));
            case 4 -> freeze(randomCore(), SECOND + randomDelayMicros(19_000_000));
            case 5 ->
                onNextAcknowledgement = () -> {
                    day.logFault("all of the core is killed after a 200");
                    killCore(300_000 + randomDelayMicros(600_000));
                };
            default -> partition(lastAcknowledger(), length);
        }
    }

    /** What comes next comes as soon as the machine before is whole by the rules. */
    private void injectRepairFault() {
        Deployment.DeployedNode node = randomCore();
        long length = 500_000 + randomDelayMicros(2_500_000);
        int kind = random.nextInt(replacesAddresses ? 8 : 5);
        if (kind == 0) {
            onNextAcknowledgement = () -> losePowerEverywhere(300_000 + randomDelayMicros(600_000));
            return;
        }
        node.setSeeds(drawSeeds(node));
        Deployment.DeployedNode edge =
                deployment.proxies().get(random.nextInt(deployment.proxies().size()));
        edge.setSeeds(drawSeeds(node));
        invariants.addMachineFault(edge.name(), world.now(), world.now() + length + SECOND);
        day.noteCoreFault(node, length + CONVERGENCE_MICROS, false);
        edge.kill(length);
        if (kind < 4) {
            boolean wiped = kind > 1;
            day.logFault(node.name() + " loses power" + (wiped ? " and its disk" : ""));
            node.losePower(length, wiped);
        } else if (kind == 4) {
            day.logFault(node.name() + " is killed");
            node.kill(length);
        } else {
            String ip = "10.1." + deployment.cores().indexOf(node) + '.' + (11 + replacements++);
            boolean withDisk = kind == 5;
            day.logFault(node.name() + " is replaced at " + ip + (withDisk ? " with its disk" : ""));
            coreAddresses.add(ip);
            node.replace(ip, withDisk, length);
        }
        day.setCoreHealthyAt(world.now() + length + CONVERGENCE_MICROS);
    }

    /** Three that have been the core's, one of which at least is now and is not the one that ends. */
    private List<String> drawSeeds(Deployment.DeployedNode ends) {
        List<String> all = new ArrayList<>(coreAddresses);
        java.util.Collections.shuffle(all, random);
        List<Deployment.DeployedNode> others = new ArrayList<>(deployment.cores());
        others.remove(ends);
        String now = others.get(random.nextInt(others.size())).machine().ip();
        all.remove(now);
        all.add(random.nextInt(Math.min(3, all.size() + 1)), now);
        return all.subList(0, Math.min(3, all.size()));
    }

    private void losePowerEverywhere(long downFor) {
        day.logFault("all machines lose power");
        day.noteCoreFault(null, downFor + SECOND, true);
        deployment.cores().forEach(core -> core.losePower(downFor, false));
        deployment.proxies().forEach(edge -> {
            invariants.addMachineFault(edge.name(), world.now(), world.now() + downFor + SECOND);
            edge.losePower(downFor, false);
        });
    }

    private void injectAbsence() {
        Deployment.DeployedNode node = randomCore();
        long length = 12 * SECOND + randomDelayMicros(8_000_000);
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> {
                int kind = random.nextInt(3);
                day.logFault(node.name() + (kind == 0 ? " is killed" : kind == 1 ? " loses power" : " loses its disk")
                        + " for " + length / 1000 + " ms");
                day.noteCoreFault(node, length + SECOND, false);
                if (kind == 0) {
                    node.kill(length);
                } else {
                    node.losePower(length, kind == 2);
                }
            }
            case 3 -> {
                day.logFault("all of the core is killed");
                killCore(300_000 + randomDelayMicros(600_000));
            }
            case 4 -> onNextAcknowledgement = () -> losePowerEverywhere(300_000 + randomDelayMicros(600_000));
            case 5 -> {
                day.logFault(node.name() + " is killed, and its disk is full when it starts");
                day.noteCoreFault(node, 6 * SECOND, false);
                node.machine().disk().setFull(true);
                node.kill(SECOND);
                world.scheduleAfter(5 * SECOND, () -> node.machine().disk().setFull(false));
            }
            case 6 -> {
                long slow = 2 * SECOND + randomDelayMicros(4_000_000);
                day.logFault(node.name() + " has a slow disk for " + slow / 1000 + " ms");
                day.noteCoreFault(node, slow, false);
                node.machine().disk().setSyncMicros(60_000);
                world.scheduleAfter(slow, () -> node.machine().disk().setSyncMicros(1_000));
            }
            default -> freeze(node, length);
        }
    }

    private void injectResponseFault() {
        long length = 2 * SECOND + randomDelayMicros(4_000_000);
        SimulatedChecker one = day.checkers().isEmpty()
                ? null
                : day.checkers().get(random.nextInt(day.checkers().size()));
        switch (random.nextInt(8)) {
            case 0 -> partition(randomCore(), length);
            case 1 -> freeze(randomCore(), length);
            case 2, 3, 4 -> {
                if (one == null || one.isDraining() || day.checkers().size() < 5) {
                    return;
                }
                boolean cut = random.nextBoolean();
                day.onNextDrainAcknowledgement(acker -> {
                    if (cut) {
                        partition(acker, LONG_PARTITION_MICROS / 2, true);
                    } else {
                        day.logFault(acker.name() + " loses power after it has acknowledged a drain");
                        day.noteCoreFault(acker, length + SECOND, false);
                        acker.losePower(length, false);
                    }
                });
                day.drainAndReplace(one, 2 * SECOND + randomDelayMicros(10_000_000));
                day.setCoreHealthyAt(world.now());
            }
            case 5 -> {
                day.logFault("one tenant sends many times its usual");
                day.surge(configurations.planRequest().tenant(), world.now() + 5 * SECOND);
                day.setCoreHealthyAt(world.now() + 4 * SECOND);
            }
            default -> {
                day.logFault("checkers answer late, twice, in part or not at all");
                day.checkers().forEach(checker -> checker.sendFaultyResponses(0.05));
                day.setCoreHealthyAt(world.now() + length);
                world.scheduleAfter(length, () -> day.checkers().forEach(checker -> checker.sendFaultyResponses(0)));
            }
        }
    }
}
