package reedmux.simulation.cluster;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import reedmux.simulation.cluster.ClusterInvariantChecker.ExpectedDecision;

/**
 * The traffic of the two operators during a {@link FaultStorm}: changes that conflict with or depend on each other, and
 * reads in between. A fault can be triggered by the next change that is sent or acknowledged. Times are microseconds.
 */
final class StormTraffic {
    private static final long SECOND = 1_000_000;
    /** No further change is sent while the operators together have this many without a definitive response. */
    private static final int MAX_PENDING_CHANGES = 8;

    private final SimulatedRun run;
    private final int category;
    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final ConfigurationGenerator configurations;
    private final List<SimulatedOperator> operators;
    private final Random random;
    private long until;
    /** Runs once when a change is acknowledged while the core is healthy; null if there is no such action. */
    private Runnable onNextAcknowledgement;
    /** Runs once for the control machine that is sent a change while the core is healthy; null if there is none. */
    private Consumer<Deployment.DeployedNode> onNextChangeSent;

    /** Creates the traffic of a storm; {@code category} is one of the categories of {@link FaultStorm}. */
    StormTraffic(
            SimulatedRun run,
            int category,
            ClusterSimulation simulation,
            Deployment deployment,
            ConfigurationGenerator configurations,
            List<SimulatedOperator> operators,
            Random random) {
        this.run = run;
        this.category = category;
        this.simulation = simulation;
        this.deployment = deployment;
        this.configurations = configurations;
        this.operators = operators;
        this.random = random;
    }

    /** Sends changes and reads from now on until the simulated time {@code end}. */
    void start(long end) {
        until = end;
        for (SimulatedOperator operator : operators) {
            operator.loseResponses(
                    category == 2 ? 0.2 : 0.03, SECOND + random.nextInt(category == 2 ? 15_000_000 : 4_000_000));
            operator.onSent(this::onSent);
        }
        sendChanges();
        sendReads();
    }

    private void onSent(String ip) {
        Consumer<Deployment.DeployedNode> action = onNextChangeSent;
        if (action != null && run.isCoreHealthy()) {
            onNextChangeSent = null;
            deployment.coreNodes().stream()
                    .filter(core -> core.machine().ip().equals(ip))
                    .findFirst()
                    .ifPresent(action);
        }
    }

    /** Sets the action that runs when the next change is acknowledged while the core is healthy. */
    void onNextAcknowledgement(Runnable action) {
        onNextAcknowledgement = action;
    }

    /** Sets the action applied to the next control machine that is sent a change while the core is healthy. */
    void onNextChangeSent(Consumer<Deployment.DeployedNode> action) {
        onNextChangeSent = action;
    }

    /** Returns whether an action is set that has not run yet. */
    boolean hasPendingAction() {
        return onNextAcknowledgement != null || onNextChangeSent != null;
    }

    private void sendChanges() {
        if (simulation.now() > until) {
            return;
        }
        if (operators.stream().mapToInt(SimulatedOperator::pendingChanges).sum() < MAX_PENDING_CHANGES) {
            sendChange(operators.get(random.nextInt(operators.size())));
        }
        long mean = category == 4 ? 100_000 : category == 2 ? 150_000 : 400_000;
        simulation.scheduleAfter(mean / 2 + random.nextInt((int) mean), this::sendChanges);
    }

    /** Sends one change, a chain of dependent changes, or two concurrent changes, one from each operator. */
    private void sendChange(SimulatedOperator first) {
        SimulatedOperator second = operators.get(1 - operators.indexOf(first));
        int kind = random.nextInt(category == 2 ? 10 : 14);
        if (kind == 0) {
            send(first, configurations.invalidChange(), ExpectedDecision.REJECT, 0, () -> {});
        } else if (kind == 1) {
            var pair = configurations.concurrentPair();
            ExpectedDecision expected = pair.getKey() ? ExpectedDecision.ACCEPT : ExpectedDecision.EITHER;
            send(first, pair.getValue().get(0), expected, 0, () -> {});
            send(second, pair.getValue().get(1), expected, randomDelayMicros(20_000), () -> {});
        } else if (kind < 4 && category == 2) {
            List<String> pair = configurations.conflictingPair();
            send(first, pair.get(0), ExpectedDecision.EITHER, 0, () -> {});
            send(
                    second,
                    pair.get(1),
                    ExpectedDecision.EITHER,
                    random.nextBoolean() ? randomDelayMicros(20_000) : randomDelayMicros(5_000_000),
                    () -> {});
        } else if (kind < 6) {
            sendChain(first, configurations.dependentChain(), 0);
        } else if (kind == 6 && category == 4) {
            send(first, configurations.largeChange(), ExpectedDecision.ACCEPT, 0, () -> {});
        } else {
            send(first, configurations.validChange(), ExpectedDecision.ACCEPT, 0, () -> {});
        }
    }

    /** Sends a chain of changes, each after the acknowledgement of the one before, to random control machines. */
    private void sendChain(SimulatedOperator operator, List<String> calls, int next) {
        if (next < calls.size()) {
            send(operator, calls.get(next), ExpectedDecision.ACCEPT, 0, () -> sendChain(operator, calls, next + 1));
        }
    }

    private void send(
            SimulatedOperator operator,
            String body,
            ExpectedDecision expected,
            long delayMicros,
            Runnable onAcknowledged) {
        simulation.scheduleAfter(
                delayMicros,
                () -> operator.changeConfiguration(body, expected, ConfigurationGenerator::visibleEffect, status -> {
                    if (status == 200) {
                        onAcknowledged.run();
                        Runnable action = onNextAcknowledgement;
                        if (action != null && run.isCoreHealthy()) {
                            onNextAcknowledgement = null;
                            action.run();
                        }
                    }
                }));
    }

    private void sendReads() {
        operators.get(random.nextInt(operators.size())).readOnce();
        if (simulation.now() < until) {
            simulation.scheduleAfter(100_000 + random.nextInt(300_000), this::sendReads);
        }
    }

    private long randomDelayMicros(int bound) {
        return random.nextInt(bound);
    }
}
