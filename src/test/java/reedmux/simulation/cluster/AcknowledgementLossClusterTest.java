package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Guards against acknowledgements that are forgotten when all processes end at once: after each kind of acknowledgement
 * all machines fail at the moment at which the caller receives it. Runs the production programs.
 */
public class AcknowledgementLossClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long STEP_MICROS = 100;
    private static final long DOWN_MICROS = 900_000;
    private static final int CORE_MACHINES = 3;
    private static final String CHANGE = "{\"apply\":{\"signals\":[{\"signalKind\":\"plants\",\"heading\":"
            + "{\"name\":\"newer\",\"revision\":99},"
            + "\"reference\":{\"probe\":\"/health\",\"connCeiling\":9}}]}}";

    /** How all machines fail at once. */
    private enum Failure {
        /** All processes are killed; the disks keep what was written. */
        KILL,
        /** All machines lose power; the disks keep what was synced. */
        POWER_LOSS,
        /** All machines lose power, and the one that has acknowledged loses its disk too. */
        POWER_AND_DISK_LOSS
    }

    private ClusterSimulation simulation;
    private Deployment deployment;
    private SimulatedProcess outside;
    private String response;

    @DataProvider
    public Object[][] failures() {
        List<Object[]> combinations = new ArrayList<>();
        for (Failure failure : Failure.values()) {
            for (int core = 0; core < CORE_MACHINES; core++) {
                combinations.add(new Object[] {failure, core});
            }
        }
        return combinations.toArray(new Object[0][]);
    }

    private void start(int seed) {
        simulation = new ClusterSimulation(seed);
        deployment = new Deployment(simulation, 2, CORE_MACHINES, line -> {});
        deployment.start();
        outside = new SimulatedProcess(
                simulation, new SimulatedMachine(simulation, "10.9.0.1", "hall-a", false), "outside", 0, line -> {});
        simulation.runFor(3 * SECOND_MICROS);
    }

    /** Sends a call and returns as soon as its response has arrived; the result starts with the status. */
    private String call(int core, byte[] request) {
        response = null;
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        deployment.controlAddresses().get(core),
                        request,
                        SECOND_MICROS,
                        (status, head, text) -> response = status + " " + text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        for (long waited = 0; response == null && waited < 2 * SECOND_MICROS; waited += STEP_MICROS) {
            simulation.runFor(STEP_MICROS);
        }
        return response;
    }

    private void acknowledge(int core, String path, String body) {
        String acknowledged = call(core, OneShotHttpCall.post(path, body));
        assertTrue(acknowledged.startsWith("200"), path + ": " + acknowledged);
    }

    private String show(int core, String view) {
        String shown = call(core, OneShotHttpCall.request("GET", "/v1/Show." + view, "c", ""));
        assertTrue(shown.startsWith("200"), shown);
        return shown;
    }

    private static String heartbeat(String phase, int sequence) {
        return "{\"plant\":\"desk\",\"address\":\"10.3.0.7:8080\",\"zone\":\"hall-a\",\"revision\":\"v1\","
                + "\"capacity\":3,\"phase\":\"" + phase + "\",\"coldLeftMs\":0,\"seq\":" + sequence + '}';
    }

    private void failAll(Failure failure, int acknowledgingCore) {
        List<Deployment.DeployedNode> cores = deployment.coreNodes();
        for (int core = 0; core < CORE_MACHINES; core++) {
            if (failure == Failure.KILL) {
                cores.get(core).kill(DOWN_MICROS);
            } else {
                boolean wiped = failure == Failure.POWER_AND_DISK_LOSS && core == acknowledgingCore;
                cores.get(core).losePower(DOWN_MICROS, wiped);
            }
        }
        simulation.runFor(6 * SECOND_MICROS);
    }

    private void beReady(int core, String id) {
        acknowledge(core, "/v1/Instances.Heartbeat/" + id, heartbeat("ready", 1));
        simulation.runFor(SECOND_MICROS); // long enough for the files to say that the instance is ready
    }

    @Test(dataProvider = "failures")
    public void acknowledgedLeaveSurvives(Failure failure, int core) {
        for (int seed = 1; seed <= 3; seed++) {
            start(seed);
            beReady(core, "i-1");
            acknowledge(core, "/v1/Instances.Leave/i-1", "{}");
            failAll(failure, core);
            for (int shownBy = 0; shownBy < CORE_MACHINES; shownBy++) {
                assertPhase(shownBy, "i-1", "gone");
            }
        }
    }

    @Test(dataProvider = "failures")
    public void acknowledgedDrainSurvives(Failure failure, int core) {
        for (int seed = 1; seed <= 3; seed++) {
            start(seed);
            beReady(core, "i-1");
            acknowledge(core, "/v1/Instances.Heartbeat/i-1", heartbeat("draining", 2));
            failAll(failure, core);
            for (int shownBy = 0; shownBy < CORE_MACHINES; shownBy++) {
                assertPhase(shownBy, "i-1", "draining");
            }
        }
    }

    /** A leave of an instance that was acknowledged as draining before is persisted as well. */
    @Test(dataProvider = "failures")
    public void acknowledgedLeaveAfterADrainSurvives(Failure failure, int core) {
        start(1);
        beReady(core, "i-1");
        acknowledge(core, "/v1/Instances.Heartbeat/i-1", heartbeat("draining", 2));
        acknowledge((core + 1) % CORE_MACHINES, "/v1/Instances.Leave/i-1", "{}");
        failAll(failure, (core + 1) % CORE_MACHINES);
        for (int shownBy = 0; shownBy < CORE_MACHINES; shownBy++) {
            assertPhase(shownBy, "i-1", "gone");
        }
    }

    private void assertPhase(int core, String id, String phase) {
        String shown = show(core, "Checkers");
        int entryStart = shown.indexOf('"' + id + '"');
        assertTrue(entryStart >= 0, "core " + core + " does not know " + id + ": " + shown);
        assertTrue(shown.contains("\"phase\":\"" + phase + '"'), "core " + core + ": " + shown);
        assertFalse(shown.contains("\"phase\":\"ready\""), "core " + core + ": " + shown);
    }

    @Test(dataProvider = "failures")
    public void acknowledgedConfigurationSurvives(Failure failure, int core) {
        for (int seed = 1; seed <= 3; seed++) {
            start(seed);
            acknowledge(core, "/v1/Config.Adjust", CHANGE);
            failAll(failure, core);
            for (int shownBy = 0; shownBy < CORE_MACHINES; shownBy++) {
                String items = show(shownBy, "Items");
                assertTrue(items.contains("\"newer\""), "core " + shownBy + ": " + items);
            }
        }
    }

    /** An operator's removal of a core machine stays in force. */
    @Test(dataProvider = "failures")
    public void acknowledgedCoreRemovalSurvives(Failure failure, int core) {
        start(1);
        String removed = deployment.coreNodes().get((core + 1) % CORE_MACHINES).name();
        simulation.runFor(5 * SECOND_MICROS);
        assertEquals(coreEntryCount(core, removed), 1, show(core, "Core"));
        deployment.coreNodes().get((core + 1) % CORE_MACHINES).losePower(60 * SECOND_MICROS, true);
        simulation.runFor(8 * SECOND_MICROS);
        acknowledge(core, "/v1/Core.Leave/" + removed, "{}");
        int survivor = (core + 2) % CORE_MACHINES;
        if (failure == Failure.KILL) {
            deployment.coreNodes().get(core).kill(DOWN_MICROS);
            deployment.coreNodes().get(survivor).kill(DOWN_MICROS);
        } else {
            deployment.coreNodes().get(core).losePower(DOWN_MICROS, false);
            deployment.coreNodes().get(survivor).losePower(DOWN_MICROS, false);
        }
        simulation.runFor(6 * SECOND_MICROS);
        assertEquals(coreEntryCount(core, removed), 0, show(core, "Core"));
        assertEquals(coreEntryCount(survivor, removed), 0, show(survivor, "Core"));
    }

    private int coreEntryCount(int core, String node) {
        String shown = show(core, "Core");
        String entries = shown.substring(shown.indexOf("\"entries\""));
        return entries.split("\"node\":\"" + node + '"', -1).length - 1;
    }
}
