package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.simulation.harness.OneShotHttpCall;

/** Who acknowledges that a checker leaves, how soon, and who does not; with the programs as they are. */
public class DrainAcknowledgementClusterTest {
    private static final long SECOND = 1_000_000;
    /** A caller waits for a second. */
    private static final long PATIENCE = SECOND;

    private ClusterSimulation simulation;
    private Deployment deployment;
    private SimulatedProcess outside;
    private int seq;

    /** An answer, and when it came; status 0 where none came in time. */
    private record TimedResponse(int status, long after, int bytes) {}

    @BeforeMethod
    public void start() {
        simulation = new ClusterSimulation(9);
        deployment = new Deployment(simulation, 2, 3, line -> {});
        deployment.start();
        outside = new SimulatedProcess(
                simulation, new SimulatedMachine(simulation, "10.9.0.1", "hall-a", false), "outside", 0, line -> {});
        simulation.runFor(3 * SECOND);
    }

    private TimedResponse call(int core, String path, String body) {
        TimedResponse[] told = {null};
        long begun = simulation.now();
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        deployment.controlAddresses().get(core),
                        OneShotHttpCall.post(path, body),
                        PATIENCE,
                        (status, head, text) ->
                                told[0] = new TimedResponse(status, simulation.now() - begun, text.length()));
            } catch (IOException e) {
                told[0] = new TimedResponse(0, 0, 0);
            }
        });
        simulation.runFor(2 * SECOND);
        return told[0];
    }

    private TimedResponse beat(int core, String id, String phase) {
        return call(
                core,
                "/v1/Instances.Heartbeat/" + id,
                "{\"plant\":\"desk\","
                        + "\"address\":\"10.3.0.7:8080\",\"zone\":\"hall-a\",\"revision\":\"v1\",\"capacity\":3,"
                        + "\"phase\":\"" + phase + "\",\"coldLeftMs\":0,\"seq\":" + ++seq + '}');
    }

    private static void good(TimedResponse told) {
        assertEquals(told.status(), 200);
        assertTrue(told.after() < PATIENCE / 2 && told.bytes() <= 4096, told.toString());
    }

    private void cut(int core) {
        for (int other = 0; other < 3; other++) {
            if (other != core) {
                SimulatedMachine one = deployment.coreNodes().get(core).machine();
                SimulatedMachine two = deployment.coreNodes().get(other).machine();
                simulation.partition(one, two);
                simulation.partition(two, one);
            }
        }
    }

    @Test
    public void aDrainAndALeaveAreAcknowledgedInTimeAlsoWithoutABeatBefore() {
        good(beat(0, "i-1", "ready"));
        good(beat(1, "i-1", "draining"));
        good(call(2, "/v1/Instances.Leave/i-1", "{}"));
        good(call(2, "/v1/Instances.Leave/i-2", "{}"));
        good(beat(0, "i-2", "ready")); // late: it is over all the same
        good(beat(1, "i-3", "draining"));
    }

    /** Cut off it takes beats, and no drain: nobody else would know. Another acknowledges it. */
    @Test
    public void whoIsCutOffAcknowledgesNoDrainAndSaysSoInTime() {
        good(beat(0, "i-1", "ready"));
        cut(0);
        TimedResponse first = beat(0, "i-1", "draining");
        assertEquals(first.status(), 503);
        assertTrue(first.after() < PATIENCE, first.toString()); // links still stand for a while
        simulation.runFor(5 * SECOND);
        good(beat(0, "i-9", "ready"));
        TimedResponse later = beat(0, "i-1", "draining");
        assertEquals(later.status(), 503);
        assertTrue(later.after() < PATIENCE / 10, later.toString());
        good(beat(1, "i-1", "draining"));
        good(call(2, "/v1/Instances.Leave/i-1", "{}"));
    }

    /** One that is left alone of three does not acknowledge either, and does again once it is not alone. */
    @Test
    public void whoIsLeftAloneAcknowledgesAgainOnceAnotherIsBack() {
        deployment.coreNodes().get(1).losePower(20 * SECOND, false);
        deployment.coreNodes().get(2).losePower(40 * SECOND, false);
        simulation.runFor(5 * SECOND);
        assertEquals(beat(0, "i-1", "draining").status(), 503);
        simulation.runFor(18 * SECOND);
        good(beat(0, "i-1", "draining"));
    }

    /** What it was told before it was frozen it answers to nobody, and nothing that it holds is too old. */
    @Test
    public void whoWasFrozenAcknowledgesOnlyWhatAnotherKnowsNow() {
        good(beat(0, "i-1", "ready"));
        deployment.coreNodes().get(0).freeze(20 * SECOND);
        assertEquals(beat(0, "i-1", "draining").status(), 0);
        good(beat(1, "i-1", "draining"));
        good(call(1, "/v1/Instances.Leave/i-1", "{}"));
        simulation.runFor(20 * SECOND);
        good(beat(0, "i-1", "ready")); // late, and no way back
        good(beat(0, "i-2", "draining"));
    }
}
