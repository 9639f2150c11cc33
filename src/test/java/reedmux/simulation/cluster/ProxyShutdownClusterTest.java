package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.harness.OneShotHttpCall;
import reedmux.simulation.harness.PersistentHttpClient;

/** Tests clients that keep using a proxy after its SIGTERM until it exits. Runs the production programs. */
public class ProxyShutdownClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int CLIENTS = 12;
    private static final long RESPONSE_TIMEOUT_MICROS = 5 * SECOND_MICROS;

    private ServingDeployment serving;
    private Deployment.DeployedNode edge;
    private long signalTimeMicros;
    private long exitTimeMicros;
    private int servedCount;
    private int rejectedCount;
    private int executedButLostCount;
    private final List<Long> servedTimesMicros = new ArrayList<>();

    /** Sends requests one after another, each as soon as the previous one has ended. */
    private final class OrderingClient implements PersistentHttpClient.Conversation {
        private final String name;
        private final int timeLeftMillis;
        private final PersistentHttpClient client;
        private int number;
        private String id;

        private OrderingClient(String name, int timeLeftMillis, boolean ignoresClose) {
            this.name = name;
            this.timeLeftMillis = timeLeftMillis;
            client = new PersistentHttpClient(
                    serving.outside().reactor(),
                    serving.deployment().frontAddress(edge),
                    RESPONSE_TIMEOUT_MICROS,
                    ignoresClose,
                    this);
        }

        @Override
        public byte[] nextRequest() {
            if (exitTimeMicros > 0) {
                return null;
            }
            id = name + '.' + ++number;
            serving.invariants()
                    .onRequestSent(
                            id,
                            edge.name(),
                            false,
                            null,
                            null,
                            null,
                            serving.simulation().now());
            return OneShotHttpCall.request(
                    "POST",
                    "/r0/x",
                    "h.example",
                    "an order",
                    "Reedmux-Attempt-Id: " + id + "\r\n",
                    "Reedmux-Time-Left-Ms: " + timeLeftMillis + "\r\n",
                    "Authorization: Bearer key-0-first.\r\n");
        }

        @Override
        public void onResponse(Http1Head head, byte[] body) {
            if (head.status() == 200) {
                servedCount++;
                servedTimesMicros.add(serving.simulation().now());
            } else {
                rejectedCount++;
                assertTrue(head.status() == 503 || head.status() == 429, "status " + head.status());
                assertTrue(head.get("Retry-After") != null, "a rejection has a Retry-After header");
            }
        }

        @Override
        public void onLost(String reason) {
            if (serving.invariants().hasExecuted(id)) {
                executedButLostCount++;
            }
            if (exitTimeMicros == 0) { // the platform routes the client to this proxy again
                serving.outside().reactor().scheduleAfter(10_000, client::start);
            }
        }
    }

    @DataProvider
    public Object[][] clients() {
        return new Object[][] {{2_500, false}, {2_500, true}, {60_000, false}, {700, true}};
    }

    /** Every request that the proxy forwards to a checker gets a response, however long after SIGTERM it arrives. */
    @Test(dataProvider = "clients")
    public void requestsForwardedAfterSigtermGetResponses(int timeLeftMillis, boolean ignoresClose) {
        serving = new ServingDeployment(11, line -> {});
        edge = serving.deployment().proxies().get(0);
        exitTimeMicros = 0;
        servedCount = 0;
        rejectedCount = 0;
        executedButLostCount = 0;
        servedTimesMicros.clear();
        SimulatedProcess process = edge.process("proxy");
        process.onExit(() -> exitTimeMicros = serving.simulation().now());
        for (int i = 0; i < CLIENTS; i++) {
            serving.outside()
                    .reactor()
                    .execute(new OrderingClient("c" + i, timeLeftMillis, ignoresClose).client::start);
        }
        serving.simulation().runFor(2 * SECOND_MICROS);
        signalTimeMicros = serving.simulation().now();
        edge.terminate(300_000);
        serving.simulation().runFor(8 * SECOND_MICROS);
        assertTrue(
                exitTimeMicros > signalTimeMicros && exitTimeMicros < signalTimeMicros + 6 * SECOND_MICROS,
                "the proxy exits within the grace period");
        assertEquals(executedButLostCount, 0, "requests executed without a response");
        assertEquals(serving.invariants().violations(), List.of());
        long servedInFirstTwoSeconds = servedTimesMicros.stream()
                .filter(at -> at > signalTimeMicros && at < signalTimeMicros + 2 * SECOND_MICROS)
                .count();
        assertTrue(
                servedInFirstTwoSeconds > 20,
                "clients that the platform still sends in the first two seconds are served");
    }
}
