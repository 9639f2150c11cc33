package reedmux.simulation.cluster;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import reedmux.common.disk.Journal;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.simulation.scenario.ScenarioChecks;

/**
 * Measures how a core machine catches up with the other two after it misses changes, is restarted or loses its disk.
 */
public final class CatchUpExperiment {
    static final long SECOND_MICROS = 1_000_000;
    private static final int ITEMS_PER_CALL = 500;
    /** Numbers of configuration items that are measured. */
    private static final int[] SIZES = {10, 100, 1_000, 10_000, 100_000};

    private static final long TIMEOUT_MICROS = 300 * SECOND_MICROS;
    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final SimulatedOperator operator;
    private final List<String> log = new ArrayList<>();
    private final Deployment.DeployedNode laggard;
    private long revision;

    /** The configuration on a disk: the number of items, and whether a complete copy was written. */
    public record DiskContent(int items, boolean complete) {}

    CatchUpExperiment(long seed) {
        simulation = new ClusterSimulation(seed);
        deployment = new Deployment(simulation, 1, 3, log::add);
        deployment.start();
        operator = new SimulatedOperator(
                simulation, "10.8.0.1", deployment.controlAddresses().subList(0, 2), new ClusterInvariantChecker());
        laggard = deployment.coreNodes().get(2);
        simulation.runFor(5 * SECOND_MICROS);
    }

    ClusterSimulation simulation() {
        return simulation;
    }

    Deployment.DeployedNode laggard() {
        return laggard;
    }

    /** Changes {@code count} items from index {@code first} on, in calls of {@value #ITEMS_PER_CALL} items. */
    void changeItems(int first, int count) {
        revision++;
        for (int from = first; from < first + count; from += ITEMS_PER_CALL) {
            String body = tenantsChange(from, Math.min(ITEMS_PER_CALL, first + count - from), revision);
            boolean[] done = {false};
            operator.changeConfiguration(
                    body,
                    ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                    ConfigurationGenerator::visibleEffect,
                    status -> done[0] = status == 200);
            for (long end = simulation.now() + TIMEOUT_MICROS; !done[0]; ) {
                simulation.runFor(SECOND_MICROS / 20);
                if (simulation.now() > end) {
                    throw new IllegalStateException("a change was not acknowledged: " + log);
                }
            }
        }
    }

    /** Returns the body of a call that changes {@code count} tenants from index {@code first} on. */
    static String tenantsChange(int first, int count, long revision) {
        StringBuilder body = new StringBuilder("{\"apply\":{\"signals\":[");
        for (int i = first; i < first + count; i++) {
            body.append(i == first ? "" : ",")
                    .append("{\"signalKind\":\"tenants\",\"heading\":{\"name\":\"t")
                    .append(i)
                    .append("\",\"revision\":")
                    .append(revision)
                    .append("},\"reference\":{\"keys\":[\"key-of-tenant-")
                    .append(i)
                    .append("\"],\"priority\":1,\"flowPerS\":20,\"burst\":40}}");
        }
        return body.append("]}}").toString();
    }

    /** Returns the bytes that the store of the lagging machine has received. */
    long receivedBytes() {
        return laggard.machine().load(laggard.name() + "/store").receivedBytes;
    }

    boolean hasLogged(String line) {
        return log.stream().anyMatch(each -> each.startsWith(laggard.name() + "/store") && each.contains(line));
    }

    DiskContent readDisk() {
        Replica replica = new Replica();
        boolean complete = false;
        MessageCodec codec = new MessageCodec();
        for (byte[] record : new Journal(laggard.machine().disk().volume(Path.of("/data"))).recover()) {
            Object message = codec.decodeOrNull(record);
            if (message instanceof ConfigurationUpdate update) {
                replica.merge(update.items());
                complete |= update.complete();
            } else if (message instanceof DecisionNotice decision) {
                replica.resolvePending(decision.proposalId(), decision.committed(), decision.items());
            }
        }
        return new DiskContent(replica.committed().size(), complete);
    }

    /**
     * Measures, for several numbers of items, the kilobytes that the lagging machine receives, and the milliseconds
     * until its store is complete again after the loss of its disk.
     */
    public static ScenarioChecks run(Consumer<String> progress) {
        ScenarioChecks checks = new ScenarioChecks();
        for (int size : SIZES) {
            progress.accept(size + " items");
            CatchUpExperiment experiment = new CatchUpExperiment(3);
            experiment.changeItems(0, size);
            experiment.simulation.runFor(5 * SECOND_MICROS);
            checks.record(size + " items, started again, nothing missed: kB", experiment.catchUpKilobytes(false, 0));
            int missed = Math.max(1, size / 100);
            checks.record(
                    size + " items, " + missed + " of them missed: kB", experiment.catchUpKilobytes(false, missed));
            checks.record(size + " items, an empty disk: kB", experiment.catchUpKilobytes(true, 0));
            long lostAt = experiment.simulation.now();
            experiment.laggard.losePower(SECOND_MICROS, true);
            experiment.log.clear();
            while (!experiment.hasLogged("whole again") && experiment.simulation.now() < lostAt + TIMEOUT_MICROS) {
                experiment.simulation.runFor(SECOND_MICROS / 200);
            }
            checks.check(
                    size + " items, an empty disk: ms until it counts itself",
                    (experiment.simulation.now() - lostAt - SECOND_MICROS) / 1000,
                    "< " + TIMEOUT_MICROS / 1000,
                    experiment.hasLogged("whole again"));
            experiment.simulation.runFor(5 * SECOND_MICROS);
            DiskContent content = experiment.readDisk();
            checks.check(
                    size + " items, an empty disk: items on it then",
                    content.items,
                    size,
                    content.items == size && content.complete);
        }
        return checks;
    }

    private String catchUpKilobytes(boolean wiped, int missed) {
        long idleBytes = receivedBytes();
        simulation.runFor(10 * SECOND_MICROS);
        idleBytes = receivedBytes() - idleBytes;
        long before = receivedBytes();
        laggard.losePower(2 * SECOND_MICROS, wiped);
        if (missed > 0) {
            changeItems(0, missed);
        }
        simulation.runFor(12 * SECOND_MICROS);
        return String.format(Locale.ROOT, "%.1f", Math.max(0, receivedBytes() - before - idleBytes) / 1e3);
    }
}
