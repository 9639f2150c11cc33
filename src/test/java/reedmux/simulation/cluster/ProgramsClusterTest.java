package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.common.net.SocketAddresses;
import reedmux.simulation.harness.OneShotHttpCall;

/** One moment of the programs' lives, brought about in virtual time. */
public class ProgramsClusterTest {
    private static final long SECOND = 1_000_000;
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

    private int[] ask(String path, long timeLeft) throws java.io.IOException {
        int[] told = {-1, 0};
        long begun = simulation.now();
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
                                "Reedmux-Attempt-Id: a" + begun + "\r\n",
                                "Reedmux-Time-Left-Ms: " + timeLeft + "\r\n",
                                "Authorization: Bearer key-0-first.\r\n"),
                        3 * SECOND,
                        (status, head, text) -> {
                            told[0] = status;
                            told[1] = (int) (simulation.now() - begun);
                        });
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        simulation.runFor(2 * SECOND);
        return told;
    }

    /** A connection that is reset before it has said who it is ended the store's process. */
    @Test
    public void aConnectionThatEndsBeforeItsFirstMessageHurtsNobody() throws java.io.IOException {
        for (int port = 7360; port < 7362; port++) {
            SimulatedTcpSocket line =
                    (SimulatedTcpSocket) outside.connect(SocketAddresses.parse("10.1.0.10:" + port), null);
            simulation.runFor(SECOND);
            line.write(java.nio.ByteBuffer.wrap(new byte[] {0, 0}));
            simulation.runFor(SECOND / 10);
            line.close();
        }
        simulation.runFor(5 * SECOND);
        assertEquals(log.stream().filter(line -> line.contains("Exception")).toList(), List.of());
        assertTrue(deployment.coreNodes().get(0).machine().tcpListener(7360) != null);
    }

    /** A request that meets the end of a start waits for it; one that meets its beginning is told when. */
    @Test
    public void aRequestWaitsForTheEndOfAStart() throws java.io.IOException {
        assertEquals(ask("/r0/x", 1_500)[0], 200);
        deployment.proxies().get(0).kill(SECOND / 2);
        simulation.runFor(SECOND / 2 + 500);
        int[] told = ask("/r0/x", 2_500);
        assertEquals(told[0], 200);
        assertTrue(told[1] < SECOND / 2, "took " + told[1]);
    }

    /** Its checkers call a registry that is cut off from the others, which hear of it through proxies. */
    @Test
    public void theCheckersOfARegistryThatIsCutOffAreNotSilent() {
        SimulatedMachine cut = deployment.coreNodes().get(0).machine();
        for (Deployment.DeployedNode core : deployment.coreNodes().subList(1, 3)) {
            simulation.partition(cut, core.machine());
            simulation.partition(core.machine(), cut);
        }
        simulation.runFor(20 * SECOND);
        assertEquals(log.stream().filter(line -> line.contains("silent")).toList(), List.of());
        deployment.coreNodes().forEach(core -> simulation.partition(simulation.machine("10.3.0.1"), core.machine()));
        simulation.runFor(10 * SECOND);
        assertTrue(log.stream().anyMatch(line -> line.contains("silent")), "who calls nobody is silent");
    }

    /** A registry that is gone is followed by others for its checkers, none of which is silent in between. */
    @Test
    public void theCheckersOfARegistryThatIsGoneAreNotSilent() {
        deployment.coreNodes().get(0).losePower(60 * SECOND, false);
        simulation.runFor(20 * SECOND);
        assertEquals(log.stream().filter(line -> line.contains("silent")).toList(), List.of());
    }

    /** Without anybody of the core it is answered in time to come back. */
    @Test
    public void whoKnowsNothingRefusesInTime() throws java.io.IOException {
        deployment.coreNodes().forEach(core -> core.losePower(60 * SECOND, false));
        deployment.proxies().get(0).kill(SECOND / 2);
        simulation.runFor(SECOND);
        int[] told = ask("/r0/x", 2_000);
        assertEquals(told[0], 503);
        assertTrue(told[1] < 300_000, "took " + told[1]);
    }

    /** What its registry tells, between the pieces of what its store tells, takes nothing of these away. */
    @Test
    public void aProxyThatStartsTakesASnapshotInPieces() throws java.io.IOException {
        SimulatedOperator operator = new SimulatedOperator(
                simulation, "10.8.0.9", deployment.controlAddresses(), new ClusterInvariantChecker());
        for (int from = 0; from < 6_000; from += 500) {
            operator.changeConfiguration(
                    CatchUpExperiment.tenantsChange(from, 500, 1),
                    ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                    ConfigurationGenerator::visibleEffect,
                    status -> assertEquals((int) status, 200));
            simulation.runFor(2 * SECOND);
        }
        for (int i = 0; i < 10; i++) {
            long downFor = SECOND / 10 + i * 700;
            deployment.proxies().forEach(edge -> edge.kill(downFor));
            simulation.runFor(SECOND / 2);
            assertEquals(ask("/r0/x", 1_500)[0], 200, "after start " + i);
        }
    }
}
