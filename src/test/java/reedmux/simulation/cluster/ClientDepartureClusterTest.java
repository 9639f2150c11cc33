package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.eventloop.Connection;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Clients that leave before they have their response, at every moment of a request's way and in each way in which a
 * connection may end; with the programs as they are.
 */
public class ClientDepartureClusterTest {
    private static final long SECOND = 1_000_000;
    private static final long MILLI = 1000;
    /** Departures are tried this far apart, from the opening of a connection until the request is long at work. */
    private static final long STEP = 500;

    private static final long LAST_DEPARTURE = 60 * MILLI;
    private static final int WORK_MILLIS = 2_500;
    /** Less than the routes' timeout, at which a checker ends a request. */
    private static final int EFFECT_MILLIS = 1_500;

    private static final String ORDER = "an order";

    private ServingDeployment serving;
    private Deployment.DeployedNode edge;
    private int clients;
    private int answered;

    /** How a client ends its connection. */
    public enum Ending {
        /** Both directions at once, as most programs do. */
        CLOSE,
        /** Its own direction only. */
        HALF_CLOSE
    }

    /** Sends one request over a connection of its own and leaves without its response. */
    private final class LeavingClient implements Connection.ConnectionHandler {
        private final String id = "d" + ++clients;
        private final Connection connection;

        private LeavingClient(byte[] prefix, String method, String body, int workMillis) throws IOException {
            connection = Connection.connect(
                    serving.outside().reactor(), serving.deployment().frontAddress(edge), null, this);
            boolean idempotent = method.equals("GET");
            serving.invariants()
                    .onRequestSent(
                            id,
                            edge.name(),
                            idempotent,
                            null,
                            null,
                            null,
                            serving.simulation().now());
            connection.write(prefix);
            connection.write(OneShotHttpCall.request(
                    method,
                    idempotent ? "/r1/x" : "/r0/x",
                    "h.example",
                    body,
                    "Reedmux-Attempt-Id: " + id + "\r\n",
                    "Reedmux-Time-Left-Ms: 20000\r\n",
                    SimulatedChecker.WORK_MILLIS + ": " + workMillis + "\r\n",
                    "Authorization: Bearer key-0-first.\r\n"));
        }

        private void leave(Ending ending) {
            serving.invariants().onClientLeft(id, serving.simulation().now());
            if (ending == Ending.HALF_CLOSE) {
                connection.shutdownOutput();
            } else {
                connection.close();
            }
        }

        @Override
        public void onInput() {
            answered += connection.available() > 0 ? 1 : 0;
        }

        @Override
        public void onClosed(String reason) {}
    }

    private void startServing() {
        serving = new ServingDeployment(21, line -> {});
        edge = serving.deployment().proxies().get(0);
        clients = 0;
        answered = 0;
    }

    private void onClientMachine(long at, OnClientMachine task) {
        serving.simulation()
                .scheduleAt(
                        at,
                        () -> serving.outside().reactor().execute(() -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        }));
    }

    private interface OnClientMachine {
        void run() throws IOException;
    }

    /** A client comes at a time, and leaves so much later. */
    private void sendAndLeave(long at, long after, Ending ending, String method, String body) {
        onClientMachine(at, () -> {
            int workMillis = method.equals("GET") ? WORK_MILLIS : EFFECT_MILLIS;
            LeavingClient client = new LeavingClient(new byte[0], method, body, workMillis);
            serving.outside().reactor().scheduleAfter(after, () -> client.leave(ending));
        });
    }

    @DataProvider
    public Object[][] departures() {
        List<Object[]> cases = new ArrayList<>();
        for (Ending ending : new Ending[] {Ending.CLOSE, Ending.HALF_CLOSE}) {
            cases.add(new Object[] {ending, "GET", ""});
            cases.add(new Object[] {ending, "POST", ORDER});
            cases.add(new Object[] {ending, "POST", "an upload ".repeat(30_000)});
        }
        return cases.toArray(new Object[0][]);
    }

    /**
     * At each moment: nothing of a request reaches a checker long after its client has left, an idempotent one is no
     * longer executed then, and another one runs once at most, to its end.
     */
    @Test(dataProvider = "departures")
    public void nothingGoesOnForClientsThatHaveLeft(Ending ending, String method, String body) {
        startServing();
        long at = serving.simulation().now();
        for (long after = STEP; after <= LAST_DEPARTURE; after += STEP) {
            sendAndLeave(at, after, ending, method, body);
            at += 30 * MILLI; // fewer at once than checkers have slots, or most would be queued there
        }
        serving.simulation().runFor(at - serving.simulation().now() + 10 * SECOND);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
        assertEquals(answered, 0);
        if (body.equals(ORDER)) {
            assertEquals(serving.invariants().departures().abortedEffectCount(), 0);
            assertTrue(serving.invariants().departures().completedEffectCount() > 20);
        }
        assertTrue(
                !method.equals("GET") || serving.invariants().executionsEndedByDeparture() > 20,
                serving.invariants().executionsEndedByDeparture() + " executions were ended");
    }

    /** A proxy that drains has no client left, but a checker works on an order: it does not end before that. */
    @Test
    public void anEffectIsNotCutByTheEndOfItsProxy() {
        startServing();
        long at = serving.simulation().now();
        edge.terminate(300 * MILLI);
        sendAndLeave(at + 1_900 * MILLI, 50 * MILLI, Ending.CLOSE, "POST", ORDER);
        serving.simulation().runFor(10 * SECOND);
        assertEquals(serving.invariants().departures().completedEffectCount(), 1);
        assertEquals(serving.invariants().violations(), List.of());
    }

    /** All checkers are full: requests wait in the proxy and in the checkers' queues as their clients leave. */
    @Test
    public void whatWaitsIsDroppedWithItsClient() {
        startServing();
        long at = serving.simulation().now();
        for (int i = 0; i < 120; i++) {
            sendAndLeave(at + i * MILLI, 20 * MILLI + i * MILLI, Ending.CLOSE, i % 3 == 0 ? "POST" : "GET", "");
        }
        serving.simulation().runFor(10 * SECOND);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
    }

    /** Behind an open request there is more input than the proxy reads ahead: the client's end lies behind that. */
    @Test
    public void aDepartureBehindUnreadInputIsNoticed() {
        startServing();
        byte[] open = OneShotHttpCall.request(
                "GET",
                "/r1/x",
                "h.example",
                "",
                "Reedmux-Attempt-Id: open\r\n",
                "Reedmux-Time-Left-Ms: 20000\r\n",
                SimulatedChecker.WORK_MILLIS + ": " + WORK_MILLIS + "\r\n",
                "Authorization: Bearer key-0-first.\r\n");
        long at = serving.simulation().now();
        onClientMachine(at, () -> {
            serving.invariants().onRequestSent("open", edge.name(), true, null, null, null, at);
            LeavingClient client = new LeavingClient(open, "POST", "more ".repeat(100_000), WORK_MILLIS);
            serving.outside().reactor().scheduleAfter(300 * MILLI, () -> {
                serving.invariants().onClientLeft("open", serving.simulation().now());
                client.leave(Ending.CLOSE);
            });
        });
        serving.simulation().runFor(10 * SECOND);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
        assertTrue(serving.invariants().executionsEndedByDeparture() > 0);
    }

    /** A proxy that restarts holds requests until it can serve; those whose client leaves meanwhile are dropped. */
    @Test
    public void whatWaitsForTheStartIsDroppedWithItsClient() {
        startServing();
        edge.terminate(300 * MILLI);
        long at = serving.simulation().now();
        for (int i = 0; i < 400; i++) {
            sendAndLeave(
                    at + i * 20 * MILLI, 25 * MILLI + i % 7 * MILLI, Ending.CLOSE, i % 3 == 0 ? "POST" : "GET", "");
        }
        serving.simulation().runFor(20 * SECOND);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
        assertTrue(serving.invariants().executionsEndedByDeparture() > 10);
    }
}
