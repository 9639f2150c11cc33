package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.simulation.harness.OneShotHttpCall;

/** Tests which registries acknowledge the drain or leave of a checker, and how fast. Runs the production programs. */
public class DrainAcknowledgementClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    /** Time a caller waits for a response. */
    private static final long CALL_TIMEOUT_MICROS = SECOND_MICROS;

    private ClusterSimulation simulation;
    private Deployment deployment;
    private SimulatedProcess outside;
    private int seq;

    /** A response and its latency; the status is 0 if no response arrived in time. */
    private record TimedResponse(int status, long elapsedMicros, int bytes) {}

    @BeforeMethod
    public void start() {
        simulation = new ClusterSimulation(9);
        deployment = new Deployment(simulation, 2, 3, line -> {});
        deployment.start();
        outside = new SimulatedProcess(
                simulation, new SimulatedMachine(simulation, "10.9.0.1", "hall-a", false), "outside", 0, line -> {});
        simulation.runFor(3 * SECOND_MICROS);
    }

    private TimedResponse call(int core, String path, String body) {
        TimedResponse[] response = {null};
        long startMicros = simulation.now();
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        deployment.controlAddresses().get(core),
                        OneShotHttpCall.post(path, body),
                        CALL_TIMEOUT_MICROS,
                        (status, head, text) ->
                                response[0] = new TimedResponse(status, simulation.now() - startMicros, text.length()));
            } catch (IOException e) {
                response[0] = new TimedResponse(0, 0, 0);
            }
        });
        simulation.runFor(2 * SECOND_MICROS);
        return response[0];
    }

    private TimedResponse sendHeartbeat(int core, String id, String phase) {
        return call(
                core,
                "/v1/Instances.Heartbeat/" + id,
                "{\"plant\":\"desk\","
                        + "\"address\":\"10.3.0.7:8080\",\"zone\":\"hall-a\",\"revision\":\"v1\",\"capacity\":3,"
                        + "\"phase\":\"" + phase + "\",\"coldLeftMs\":0,\"seq\":" + ++seq + '}');
    }

    private static void assertAcknowledgedInTime(TimedResponse response) {
        assertEquals(response.status(), 200);
        assertTrue(response.elapsedMicros() < CALL_TIMEOUT_MICROS / 2 && response.bytes() <= 4096, response.toString());
    }

    private void isolate(int core) {
        for (int other = 0; other < 3; other++) {
            if (other != core) {
                SimulatedMachine isolatedMachine =
                        deployment.coreNodes().get(core).machine();
                SimulatedMachine otherMachine =
                        deployment.coreNodes().get(other).machine();
                simulation.partition(isolatedMachine, otherMachine);
                simulation.partition(otherMachine, isolatedMachine);
            }
        }
    }

    @Test
    public void drainAndLeaveAreAcknowledgedWithoutPriorHeartbeat() {
        assertAcknowledgedInTime(sendHeartbeat(0, "i-1", "ready"));
        assertAcknowledgedInTime(sendHeartbeat(1, "i-1", "draining"));
        assertAcknowledgedInTime(call(2, "/v1/Instances.Leave/i-1", "{}"));
        assertAcknowledgedInTime(call(2, "/v1/Instances.Leave/i-2", "{}"));
        assertAcknowledgedInTime(sendHeartbeat(0, "i-2", "ready")); // late heartbeat: the leave stays in effect
        assertAcknowledgedInTime(sendHeartbeat(1, "i-3", "draining"));
    }

    /**
     * An isolated registry accepts heartbeats but rejects drains, because no other registry would learn of them.
     * Another registry acknowledges the drain.
     */
    @Test
    public void isolatedRegistryRejectsDrainInTime() {
        assertAcknowledgedInTime(sendHeartbeat(0, "i-1", "ready"));
        isolate(0);
        TimedResponse first = sendHeartbeat(0, "i-1", "draining");
        assertEquals(first.status(), 503);
        assertTrue(first.elapsedMicros() < CALL_TIMEOUT_MICROS, first.toString()); // the links have not timed out yet
        simulation.runFor(5 * SECOND_MICROS);
        assertAcknowledgedInTime(sendHeartbeat(0, "i-9", "ready"));
        TimedResponse later = sendHeartbeat(0, "i-1", "draining");
        assertEquals(later.status(), 503);
        assertTrue(later.elapsedMicros() < CALL_TIMEOUT_MICROS / 10, later.toString());
        assertAcknowledgedInTime(sendHeartbeat(1, "i-1", "draining"));
        assertAcknowledgedInTime(call(2, "/v1/Instances.Leave/i-1", "{}"));
    }

    /** The last of three registries acknowledges no drain, and does so again once another one is back. */
    @Test
    public void loneRegistryAcknowledgesOnceAnotherReturns() {
        deployment.coreNodes().get(1).losePower(20 * SECOND_MICROS, false);
        deployment.coreNodes().get(2).losePower(40 * SECOND_MICROS, false);
        simulation.runFor(5 * SECOND_MICROS);
        assertEquals(sendHeartbeat(0, "i-1", "draining").status(), 503);
        simulation.runFor(18 * SECOND_MICROS);
        assertAcknowledgedInTime(sendHeartbeat(0, "i-1", "draining"));
    }

    /**
     * A frozen registry does not answer the calls that it has received. After the thaw it acknowledges only what
     * another registry knows by then, so none of its answers rests on stale state.
     */
    @Test
    public void thawedRegistryDoesNotAnswerFromStaleState() {
        assertAcknowledgedInTime(sendHeartbeat(0, "i-1", "ready"));
        deployment.coreNodes().get(0).freeze(20 * SECOND_MICROS);
        assertEquals(sendHeartbeat(0, "i-1", "draining").status(), 0);
        assertAcknowledgedInTime(sendHeartbeat(1, "i-1", "draining"));
        assertAcknowledgedInTime(call(1, "/v1/Instances.Leave/i-1", "{}"));
        simulation.runFor(20 * SECOND_MICROS);
        assertAcknowledgedInTime(sendHeartbeat(0, "i-1", "ready")); // late heartbeat: does not undo the leave
        assertAcknowledgedInTime(sendHeartbeat(0, "i-2", "draining"));
    }
}
