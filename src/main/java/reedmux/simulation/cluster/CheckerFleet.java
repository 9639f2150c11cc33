package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The checkers of a simulated run. Each started checker gets a unique id. */
final class CheckerFleet {
    /** Interval in which {@link #replaceOnceEnded} polls whether the former checker has ended. */
    private static final long REPLACEMENT_DELAY_MICROS = 2_000_000;

    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants;
    /** Receives the address of the control machine that acknowledged a drain. */
    private final Consumer<String> drainListener;

    private final List<SimulatedChecker> checkers = new ArrayList<>();
    private int nextNumber;

    CheckerFleet(
            ClusterSimulation simulation,
            Deployment deployment,
            ClusterInvariantChecker invariants,
            Consumer<String> drainListener) {
        this.simulation = simulation;
        this.deployment = deployment;
        this.invariants = invariants;
        this.drainListener = drainListener;
    }

    /** Returns a live view of the checkers that have not ended. */
    List<SimulatedChecker> all() {
        return checkers;
    }

    /** Starts a checker; {@code service} is an index into {@link ConfigurationGenerator#SERVICES}. */
    void start(SimulatedMachine machine, int service) {
        String id = "i-" + nextNumber++;
        SimulatedChecker[] started = {null};
        started[0] = new SimulatedChecker(
                simulation,
                machine,
                id,
                ConfigurationGenerator.SERVICES.get(service),
                deployment.controlAddresses(),
                invariants,
                () -> checkers.remove(started[0]),
                drainListener);
        checkers.add(started[0]);
    }

    /** Starts a checker on a machine after the checker {@code former} has ended, polling every two seconds. */
    void replaceOnceEnded(SimulatedChecker former, SimulatedMachine machine, int service) {
        simulation.scheduleAfter(REPLACEMENT_DELAY_MICROS, () -> {
            if (former.isAlive()) {
                replaceOnceEnded(former, machine, service);
            } else {
                start(machine, service);
            }
        });
    }
}
