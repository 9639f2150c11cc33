package reedmux.simulation.cluster;

import java.util.Random;
import java.util.function.Consumer;

/**
 * A small running deployment in virtual time, five seconds after its start: two edge machines, three core machines,
 * four checkers and one configuration. It also has a process outside the deployment, for external calls.
 */
final class ServingDeployment {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int EDGE_MACHINES = 2;
    private static final int CORE_MACHINES = 3;
    private static final int CHECKERS = 4;

    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final SimulatedProcess outside;
    private final ClusterInvariantChecker invariants = new ClusterInvariantChecker();

    /**
     * Starts the deployment; {@code seed} determines the simulation, {@code log} receives the log lines of the
     * programs.
     */
    ServingDeployment(long seed, Consumer<String> log) {
        simulation = new ClusterSimulation(seed);
        deployment = new Deployment(simulation, EDGE_MACHINES, CORE_MACHINES, log);
        deployment.onInvariantViolation(invariants::onInvariantViolation);
        deployment.start();
        outside = new SimulatedProcess(simulation, machine("10.9.0.1"), "outside", 0, line -> {});
        for (int i = 0; i < CHECKERS; i++) {
            new SimulatedChecker(
                    simulation,
                    machine("10.3.0." + (i + 1)),
                    "i-" + i,
                    ConfigurationGenerator.SERVICES.get(i % ConfigurationGenerator.SERVICES.size()),
                    deployment.controlAddresses(),
                    invariants,
                    () -> {},
                    ip -> {});
        }
        new SimulatedOperator(simulation, "10.8.0.1", deployment.controlAddresses(), invariants)
                .changeConfiguration(
                        new ConfigurationGenerator(new Random(1)).initialChange(),
                        ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                        ConfigurationGenerator::visibleEffect,
                        status -> {});
        simulation.runFor(5 * SECOND_MICROS);
    }

    private SimulatedMachine machine(String ip) {
        return new SimulatedMachine(simulation, ip, "hall-a", false);
    }

    ClusterSimulation simulation() {
        return simulation;
    }

    Deployment deployment() {
        return deployment;
    }

    /** Returns the invariant checker, to which the programs, the simulated checkers and the operator report. */
    ClusterInvariantChecker invariants() {
        return invariants;
    }

    /** Returns the external process, which runs on its own machine. */
    SimulatedProcess outside() {
        return outside;
    }
}
