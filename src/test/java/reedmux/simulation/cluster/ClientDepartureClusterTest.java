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
 * Tests clients that disconnect before they receive their response, at every stage of a request and for each way to
 * close a connection. Runs the production programs.
 */
public class ClientDepartureClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long MILLISECOND_MICROS = 1000;
    /**
     * Interval between the tested departure times, which range from the opening of the connection until long after the
     * request has started to execute.
     */
    private static final long DEPARTURE_STEP_MICROS = 500;

    private static final long LAST_DEPARTURE_MICROS = 60 * MILLISECOND_MICROS;
    private static final int IDEMPOTENT_WORK_MILLIS = 2_500;
    /** Shorter than the routes' timeout, after which a checker aborts a request. */
    private static final int EFFECTFUL_WORK_MILLIS = 1_500;

    private static final String ORDER_BODY = "an order";

    private ServingDeployment serving;
    private Deployment.DeployedNode edge;
    private int clientCount;
    private int answeredCount;

    /** The way in which a client closes its connection. */
    public enum ConnectionClose {
        /** Closes both directions at once, as most programs do. */
        CLOSE,
        /** Closes only the client's sending direction. */
        HALF_CLOSE
    }

    /** Sends one request over its own connection and disconnects without waiting for the response. */
    private final class LeavingClient implements Connection.ConnectionHandler {
        private final String id = "d" + ++clientCount;
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

        private void leave(ConnectionClose closeMode) {
            serving.invariants().onClientLeft(id, serving.simulation().now());
            if (closeMode == ConnectionClose.HALF_CLOSE) {
                connection.shutdownOutput();
            } else {
                connection.close();
            }
        }

        @Override
        public void onInput() {
            answeredCount += connection.available() > 0 ? 1 : 0;
        }

        @Override
        public void onClosed(String reason) {}
    }

    private void startServing() {
        serving = new ServingDeployment(21, line -> {});
        edge = serving.deployment().proxies().get(0);
        clientCount = 0;
        answeredCount = 0;
    }

    private void scheduleOnClientMachine(long timeMicros, ClientTask task) {
        serving.simulation()
                .scheduleAt(
                        timeMicros,
                        () -> serving.outside().reactor().execute(() -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        }));
    }

    private interface ClientTask {
        void run() throws IOException;
    }

    /** Connects a client at {@code timeMicros}, which disconnects {@code delayMicros} later. */
    private void sendAndLeave(
            long timeMicros, long delayMicros, ConnectionClose closeMode, String method, String body) {
        scheduleOnClientMachine(timeMicros, () -> {
            int workMillis = method.equals("GET") ? IDEMPOTENT_WORK_MILLIS : EFFECTFUL_WORK_MILLIS;
            LeavingClient client = new LeavingClient(new byte[0], method, body, workMillis);
            serving.outside().reactor().scheduleAfter(delayMicros, () -> client.leave(closeMode));
        });
    }

    @DataProvider
    public Object[][] departures() {
        List<Object[]> cases = new ArrayList<>();
        for (ConnectionClose closeMode : new ConnectionClose[] {ConnectionClose.CLOSE, ConnectionClose.HALF_CLOSE}) {
            cases.add(new Object[] {closeMode, "GET", ""});
            cases.add(new Object[] {closeMode, "POST", ORDER_BODY});
            cases.add(new Object[] {closeMode, "POST", "an upload ".repeat(30_000)});
        }
        return cases.toArray(new Object[0][]);
    }

    /**
     * Whenever the client disconnects, no part of its request reaches a checker long after that. An idempotent request
     * is no longer executed then; any other request is executed at most once, and to completion.
     */
    @Test(dataProvider = "departures")
    public void requestsOfDepartedClientsAreCancelled(ConnectionClose closeMode, String method, String body) {
        startServing();
        long timeMicros = serving.simulation().now();
        for (long delayMicros = DEPARTURE_STEP_MICROS;
                delayMicros <= LAST_DEPARTURE_MICROS;
                delayMicros += DEPARTURE_STEP_MICROS) {
            sendAndLeave(timeMicros, delayMicros, closeMode, method, body);
            timeMicros += 30
                    * MILLISECOND_MICROS; // keeps concurrency below the checkers' slots; otherwise most requests would
            // queue there
        }
        serving.simulation().runFor(timeMicros - serving.simulation().now() + 10 * SECOND_MICROS);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
        assertEquals(answeredCount, 0);
        if (body.equals(ORDER_BODY)) {
            assertEquals(serving.invariants().departures().abortedEffectCount(), 0);
            assertTrue(serving.invariants().departures().completedEffectCount() > 20);
        }
        assertTrue(
                !method.equals("GET") || serving.invariants().executionsEndedByDeparture() > 20,
                serving.invariants().executionsEndedByDeparture() + " executions were cancelled");
    }

    /** A draining proxy without clients does not exit while a checker still executes an effectful request. */
    @Test
    public void shutdownWaitsForEffectfulRequestWithoutClient() {
        startServing();
        long startMicros = serving.simulation().now();
        edge.terminate(300 * MILLISECOND_MICROS);
        sendAndLeave(
                startMicros + 1_900 * MILLISECOND_MICROS,
                50 * MILLISECOND_MICROS,
                ConnectionClose.CLOSE,
                "POST",
                ORDER_BODY);
        serving.simulation().runFor(10 * SECOND_MICROS);
        assertEquals(serving.invariants().departures().completedEffectCount(), 1);
        assertEquals(serving.invariants().violations(), List.of());
    }

    /**
     * All checkers are at capacity, so requests are queued in the proxy and the checkers when their clients disconnect.
     */
    @Test
    public void queuedRequestsOfDepartedClientsAreDropped() {
        startServing();
        long startMicros = serving.simulation().now();
        for (int i = 0; i < 120; i++) {
            sendAndLeave(
                    startMicros + i * MILLISECOND_MICROS,
                    20 * MILLISECOND_MICROS + i * MILLISECOND_MICROS,
                    ConnectionClose.CLOSE,
                    i % 3 == 0 ? "POST" : "GET",
                    "");
        }
        serving.simulation().runFor(10 * SECOND_MICROS);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
    }

    /**
     * More input follows an open request than the proxy reads ahead, so the end of the connection lies behind unread
     * input.
     */
    @Test
    public void departureBehindUnreadInputIsDetected() {
        startServing();
        byte[] openRequest = OneShotHttpCall.request(
                "GET",
                "/r1/x",
                "h.example",
                "",
                "Reedmux-Attempt-Id: open\r\n",
                "Reedmux-Time-Left-Ms: 20000\r\n",
                SimulatedChecker.WORK_MILLIS + ": " + IDEMPOTENT_WORK_MILLIS + "\r\n",
                "Authorization: Bearer key-0-first.\r\n");
        long startMicros = serving.simulation().now();
        scheduleOnClientMachine(startMicros, () -> {
            serving.invariants().onRequestSent("open", edge.name(), true, null, null, null, startMicros);
            LeavingClient client =
                    new LeavingClient(openRequest, "POST", "more ".repeat(100_000), IDEMPOTENT_WORK_MILLIS);
            serving.outside().reactor().scheduleAfter(300 * MILLISECOND_MICROS, () -> {
                serving.invariants().onClientLeft("open", serving.simulation().now());
                client.leave(ConnectionClose.CLOSE);
            });
        });
        serving.simulation().runFor(10 * SECOND_MICROS);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
        assertTrue(serving.invariants().executionsEndedByDeparture() > 0);
    }

    /** A restarting proxy holds requests until it can serve, and drops those whose client disconnects meanwhile. */
    @Test
    public void requestsHeldDuringStartupAreDroppedWithTheirClients() {
        startServing();
        edge.terminate(300 * MILLISECOND_MICROS);
        long startMicros = serving.simulation().now();
        for (int i = 0; i < 400; i++) {
            sendAndLeave(
                    startMicros + i * 20 * MILLISECOND_MICROS,
                    25 * MILLISECOND_MICROS + i % 7 * MILLISECOND_MICROS,
                    ConnectionClose.CLOSE,
                    i % 3 == 0 ? "POST" : "GET",
                    "");
        }
        serving.simulation().runFor(20 * SECOND_MICROS);
        serving.invariants().checkDepartures(serving.simulation().now());
        assertEquals(serving.invariants().violations(), List.of());
        assertTrue(serving.invariants().executionsEndedByDeparture() > 10);
    }
}
