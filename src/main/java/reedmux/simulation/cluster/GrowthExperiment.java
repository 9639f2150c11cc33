package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

/**
 * Measures the cost of the control plane by cluster size, in virtual time. The production programs run without client
 * traffic: idle, while one proxy restarts, and during a rolling restart of all proxies. Bytes and messages are those
 * between the production programs. CPU time is that of the code of the programs, without the kernel's sockets.
 */
public final class GrowthExperiment {
    public static final List<String> PHASES = List.of("rest", "one", "roll");
    public static final List<String> ROLES = List.of("proxy", "registry", "store");
    private static final long SECOND = 1_000_000;
    private static final long SETTLE_MICROS = 12 * SECOND;
    private static final long REST_MICROS = 8 * SECOND;
    private static final long SINGLE_RESTART_MICROS = 6 * SECOND;
    private static final long ROLLING_RESTART_MICROS = 20 * SECOND;
    private static final long ROLLING_RESTART_TAIL_MICROS = 6 * SECOND;
    private static final long DOWNTIME_MICROS = 300_000;
    /** With more proxies than this the rolling restart is skipped, because it would take minutes. */
    private static final int MAX_ROLLED_PROXIES = 300;

    private final ClusterSimulation simulation;
    private final Deployment deployment;

    /** The number of nodes of each role. */
    public record ClusterSize(int proxies, int cores, int checkers) {}

    /**
     * The load of the median machine of a role in a phase.
     *
     * @param seconds   the simulated duration of the phase
     * @param kilobytes sent and received kilobytes per second
     * @param messages  sent messages per second
     * @param events    handled events per second
     * @param cpuMillis CPU milliseconds per second
     */
    public record GrowthRow(
            ClusterSize size,
            String phase,
            String role,
            double seconds,
            double kilobytes,
            double messages,
            double events,
            double cpuMillis) {}

    private GrowthExperiment(ClusterSize size) {
        simulation = new ClusterSimulation(size.proxies() * 31L + size.cores());
        simulation.enableCpuMeasurement();
        deployment = new Deployment(simulation, size.proxies(), size.cores(), line -> {});
    }

    /** Runs all phases for one cluster size. */
    public static List<GrowthRow> run(ClusterSize size) {
        return new GrowthExperiment(size).runPhases(size);
    }

    private List<GrowthRow> runPhases(ClusterSize size) {
        ClusterInvariantChecker uncheckedInvariants = new ClusterInvariantChecker();
        deployment.start();
        for (int i = 0; i < size.checkers(); i++) {
            SimulatedMachine machine = new SimulatedMachine(
                    simulation,
                    "10.3." + i / 200 + '.' + (1 + i % 200),
                    Deployment.ZONES[i % Deployment.ZONES.length],
                    false);
            new SimulatedChecker(
                    simulation,
                    machine,
                    "i-" + i,
                    ConfigurationGenerator.SERVICES.get(i % 2),
                    deployment.controlAddresses(),
                    uncheckedInvariants,
                    () -> {},
                    ip -> {});
        }
        new SimulatedOperator(simulation, "10.8.0.1", deployment.controlAddresses(), uncheckedInvariants)
                .changeConfiguration(
                        new ConfigurationGenerator(new Random(1)).initialChange(),
                        ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                        ConfigurationGenerator::visibleEffect,
                        status -> {});
        simulation.runFor(SETTLE_MICROS);
        List<GrowthRow> rows = new ArrayList<>();
        measure(rows, size, "rest", REST_MICROS);
        deployment.proxies().get(size.proxies() / 2).kill(DOWNTIME_MICROS);
        measure(rows, size, "one", SINGLE_RESTART_MICROS);
        if (size.proxies() > MAX_ROLLED_PROXIES) {
            return rows;
        }
        List<Deployment.DeployedNode> proxies = deployment.proxies();
        for (int i = 0; i < proxies.size(); i++) {
            Deployment.DeployedNode proxy = proxies.get(i);
            simulation.scheduleAfter(i * ROLLING_RESTART_MICROS / proxies.size(), () -> proxy.kill(DOWNTIME_MICROS));
        }
        measure(rows, size, "roll", ROLLING_RESTART_MICROS + ROLLING_RESTART_TAIL_MICROS);
        return rows;
    }

    private void measure(List<GrowthRow> rows, ClusterSize size, String phase, long durationMicros) {
        List<List<ProcessLoad>> before = new ArrayList<>();
        ROLES.forEach(role -> before.add(loads(role)));
        simulation.runFor(durationMicros);
        for (int i = 0; i < ROLES.size(); i++) {
            List<ProcessLoad> after = loads(ROLES.get(i));
            ProcessLoad[] differences = new ProcessLoad[after.size()];
            for (int machine = 0; machine < differences.length; machine++) {
                differences[machine] = after.get(machine).since(before.get(i).get(machine));
            }
            double seconds = durationMicros / 1e6;
            rows.add(new GrowthRow(
                    size,
                    phase,
                    ROLES.get(i),
                    seconds,
                    median(differences, load -> (load.sentBytes + load.receivedBytes) / 1e3) / seconds,
                    median(differences, load -> load.messages) / seconds,
                    median(differences, load -> load.events) / seconds,
                    median(differences, load -> load.cpuNanos / 1e6) / seconds));
        }
    }

    private List<ProcessLoad> loads(String role) {
        List<ProcessLoad> all = new ArrayList<>();
        for (Deployment.DeployedNode node : role.equals("proxy") ? deployment.proxies() : deployment.coreNodes()) {
            all.add(new ProcessLoad()
                    .since(new ProcessLoad().since(node.machine().load(node.name() + '/' + role))));
        }
        return all;
    }

    private static double median(ProcessLoad[] loads, ToDoubleFunction<ProcessLoad> value) {
        double[] sorted = Arrays.stream(loads).mapToDouble(value).sorted().toArray();
        return sorted[sorted.length / 2];
    }
}
