package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.common.net.SocketAddresses;
import reedmux.simulation.harness.OneShotHttpCall;

/** Tests individual situations of the production programs, reproduced in virtual time. */
public class ProgramsClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private final List<String> log = new ArrayList<>();
    private ClusterSimulation simulation;
    private Deployment deployment;
    private SimulatedProcess outside;

    @BeforeMethod
    public void start() {
        log.clear();
        ServingDeployment serving = new ServingDeployment(5, log::add);
        simulation = serving.simulation();
        deployment = serving.deployment();
        outside = serving.outside();
    }

    private int[] sendRequest(String path, long timeLeftMillis) throws java.io.IOException {
        int[] result = {-1, 0};
        long startMicros = simulation.now();
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        deployment.frontAddress(deployment.proxies().get(0)),
                        OneShotHttpCall.request(
                                "GET",
                                path,
                                "h.example",
                                "",
                                "Reedmux-Attempt-Id: a" + startMicros + "\r\n",
                                "Reedmux-Time-Left-Ms: " + timeLeftMillis + "\r\n",
                                "Authorization: Bearer key-0-first.\r\n"),
                        3 * SECOND_MICROS,
                        (status, head, text) -> {
                            result[0] = status;
                            result[1] = (int) (simulation.now() - startMicros);
                        });
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        simulation.runFor(2 * SECOND_MICROS);
        return result;
    }

    /**
     * Guards against a fault in which a connection that closed before its first message terminated the store's process.
     */
    @Test
    public void connectionClosedBeforeHelloIsHarmless() throws java.io.IOException {
        for (int port = 7360; port < 7362; port++) {
            SimulatedTcpSocket socket =
                    (SimulatedTcpSocket) outside.connect(SocketAddresses.parse("10.1.0.10:" + port), null);
            simulation.runFor(SECOND_MICROS);
            socket.write(java.nio.ByteBuffer.wrap(new byte[] {0, 0}));
            simulation.runFor(SECOND_MICROS / 10);
            socket.close();
        }
        simulation.runFor(5 * SECOND_MICROS);
        assertEquals(log.stream().filter(socket -> socket.contains("Exception")).toList(), List.of());
        assertTrue(deployment.coreNodes().get(0).machine().tcpListener(7360) != null);
    }

    /**
     * A request that arrives near the end of a proxy's start waits for it; one that arrives at the beginning is told
     * when to retry.
     */
    @Test
    public void requestWaitsForStartupToFinish() throws java.io.IOException {
        assertEquals(sendRequest("/r0/x", 1_500)[0], 200);
        deployment.proxies().get(0).kill(SECOND_MICROS / 2);
        simulation.runFor(SECOND_MICROS / 2 + 500);
        int[] result = sendRequest("/r0/x", 2_500);
        assertEquals(result[0], 200);
        assertTrue(result[1] < SECOND_MICROS / 2, "microseconds until the response: " + result[1]);
    }

    /**
     * Checkers report to a registry that is partitioned from the others, which learn of these checkers through proxies.
     */
    @Test
    public void checkersOfPartitionedRegistryStayAvailable() {
        SimulatedMachine partitionedMachine = deployment.coreNodes().get(0).machine();
        for (Deployment.DeployedNode core : deployment.coreNodes().subList(1, 3)) {
            simulation.partition(partitionedMachine, core.machine());
            simulation.partition(core.machine(), partitionedMachine);
        }
        simulation.runFor(20 * SECOND_MICROS);
        assertEquals(log.stream().filter(line -> line.contains("silent")).toList(), List.of());
        deployment.coreNodes().forEach(core -> simulation.partition(simulation.machine("10.3.0.1"), core.machine()));
        simulation.runFor(10 * SECOND_MICROS);
        assertTrue(
                log.stream().anyMatch(line -> line.contains("silent")),
                "a checker that reaches no registry is reported as silent");
    }

    /** When a registry fails, other registries take over its checkers, none of which becomes silent meanwhile. */
    @Test
    public void checkersOfFailedRegistryStayAvailable() {
        deployment.coreNodes().get(0).losePower(60 * SECOND_MICROS, false);
        simulation.runFor(20 * SECOND_MICROS);
        assertEquals(log.stream().filter(line -> line.contains("silent")).toList(), List.of());
    }

    /** A proxy that reaches no core machine rejects requests early enough for the client to retry. */
    @Test
    public void proxyWithoutCoreRejectsInTime() throws java.io.IOException {
        deployment.coreNodes().forEach(core -> core.losePower(60 * SECOND_MICROS, false));
        deployment.proxies().get(0).kill(SECOND_MICROS / 2);
        simulation.runFor(SECOND_MICROS);
        int[] result = sendRequest("/r0/x", 2_000);
        assertEquals(result[0], 503);
        assertTrue(result[1] < 300_000, "microseconds until the response: " + result[1]);
    }

    /** Registry updates that arrive between the chunks of a store snapshot do not discard any of those chunks. */
    @Test
    public void startingProxyReceivesChunkedSnapshot() throws java.io.IOException {
        SimulatedOperator operator = new SimulatedOperator(
                simulation, "10.8.0.9", deployment.controlAddresses(), new ClusterInvariantChecker());
        for (int from = 0; from < 6_000; from += 500) {
            operator.changeConfiguration(
                    CatchUpExperiment.tenantsChange(from, 500, 1),
                    ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                    ConfigurationGenerator::visibleEffect,
                    status -> assertEquals((int) status, 200));
            simulation.runFor(2 * SECOND_MICROS);
        }
        for (int i = 0; i < 10; i++) {
            long downFor = SECOND_MICROS / 10 + i * 700;
            deployment.proxies().forEach(edge -> edge.kill(downFor));
            simulation.runFor(SECOND_MICROS / 2);
            assertEquals(sendRequest("/r0/x", 1_500)[0], 200, "after start " + i);
        }
    }
}
