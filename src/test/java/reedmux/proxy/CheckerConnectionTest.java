package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RouteItem;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.proxy.loadbalancer.LoadBalancer;
import reedmux.proxy.request.ProxyRequest;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;
import reedmux.proxy.request.RequestEvent;
import reedmux.proxy.request.RequestPort;
import reedmux.proxy.request.RequestTracker;
import reedmux.proxy.retry.RetryBudget;
import reedmux.testing.ScheduleExplorer;

/**
 * Requests, their tries and the connections to checkers together, with all orders of what checkers may do
 * to them. The checkers are as bad as the protocol lets them be: what has reached one in part may have run.
 */
public class CheckerConnectionTest {
    private static final long MICROS_PER_MILLI = 1000;
    private static final int STEPS = 4;
    private static final String ATTEMPT_ID_HEADER = "Reedmux-Attempt-Id: ";

    /** Two checkers, whose sides of the connections are the test's, and what they have seen. */
    private static final class CheckerHarness implements RequestPort {
        final ScriptedEnvironment sockets = new ScriptedEnvironment();
        final LoadBalancer loadBalancer = new LoadBalancer("me", "here", 1);
        final RequestTracker tracker = new RequestTracker(this, loadBalancer, new RetryBudget(1, 100, false), 1);
        final CheckerConnectionPool pool = new CheckerConnectionPool(sockets.reactor(), tracker);
        final Map<String, ProxyResponse> responses = new HashMap<>();
        final List<String> quotaRefunds = new ArrayList<>();
        /** What each connection's other side has made of what came: requests taken, and answered so far. */
        final Map<ScriptedEnvironment.ScriptedSocket, Integer> responsesSent = new HashMap<>();
        /** Of each request, how many checkers may have run it, and which answers would be its own. */
        final Map<String, Integer> executions = new HashMap<>();
        /** Answers that come a second time, with the next one on their connection. */
        final Map<ScriptedEnvironment.ScriptedSocket, String> duplicateResponses = new HashMap<>();

        CheckerHarness(int checkers) {
            for (int i = 0; i < checkers; i++) {
                loadBalancer.onIncarnationUpdate(
                        new InstanceIncarnation(
                                "c" + i,
                                "desk",
                                "10.0.0." + (i + 1) + ":80",
                                "here",
                                3,
                                InstanceIncarnation.READY,
                                1,
                                0,
                                false),
                        sockets.now());
            }
        }

        void accept(String attempt, boolean repeatable, String body) {
            RouteItem route = new RouteItem(
                    "r",
                    "h",
                    "/",
                    repeatable,
                    500 * MICROS_PER_MILLI,
                    100 * MICROS_PER_MILLI,
                    1,
                    List.of(new RouteItem.WeightedService("desk", 1)),
                    2,
                    true);
            ClientRequestBody upload = body == null ? null : new ClientRequestBody(body.length());
            if (upload != null) {
                upload.append(body.getBytes(StandardCharsets.ISO_8859_1));
                upload.finish();
            }
            ClientRequest request = new ClientRequest(
                    null,
                    Http1Head.request(body == null ? "GET" : "POST", "/x").add("Reedmux-Attempt-Id", attempt),
                    attempt,
                    null,
                    upload);
            request.setProxyRequest(new ProxyRequest(route, null, request, sockets.now() + 400 * MICROS_PER_MILLI));
            tracker.onEvent(sockets.now(), new RequestEvent.RequestAccepted(request.proxyRequest()));
            sockets.runReactorOnce();
        }

        @Override
        public void send(RequestAttempt attempt) {
            pool.send(attempt);
        }

        @Override
        public void cancel(RequestAttempt attempt) {
            pool.cancel(attempt);
        }

        @Override
        public void respond(ProxyRequest request, ProxyResponse response) {
            String attemptId = ((ClientRequest) request.source()).attemptId();
            assertFalse(responses.containsKey(attemptId), "answered twice");
            responses.put(attemptId, response);
        }

        @Override
        public void refundQuota(ProxyRequest request) {
            quotaRefunds.add(((ClientRequest) request.source()).attemptId());
        }

        @Override
        public void schedule(long at, RequestEvent event) {
            sockets.reactor().scheduleAt(at, () -> tracker.onEvent(sockets.now(), event));
        }

        /** The ids of the requests that have come over a connection. */
        List<String> receivedAttemptIds(ScriptedEnvironment.ScriptedSocket conn) {
            List<String> all = new ArrayList<>();
            String text = conn.writtenText();
            for (int at = text.indexOf(ATTEMPT_ID_HEADER); at >= 0; at = text.indexOf(ATTEMPT_ID_HEADER, at + 1)) {
                all.add(text.substring(at + ATTEMPT_ID_HEADER.length(), text.indexOf('\r', at)));
            }
            return all;
        }

        /** The connections on which a checker owes an answer, or that are not up yet. */
        List<ScriptedEnvironment.ScriptedSocket> awaitingChecker() {
            List<ScriptedEnvironment.ScriptedSocket> all = new ArrayList<>();
            for (ScriptedEnvironment.ScriptedSocket conn : sockets.sockets) {
                int owed = receivedAttemptIds(conn).size() - responsesSent.getOrDefault(conn, 0);
                assertTrue(owed <= 1, "one request at a time");
                if (!conn.isClosed() && (owed == 1 || !conn.isConnected())) {
                    all.add(conn);
                }
            }
            return all;
        }

        static String okResponse(String attempt) {
            String body = "body of " + attempt;
            return "HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attempt + "\r\nReedmux-Server-Seal: s\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** One step: time passes, or a checker does something. */
        void step(ScheduleExplorer orders) {
            List<ScriptedEnvironment.ScriptedSocket> open = awaitingChecker();
            int which = orders.choose(open.size() + 1);
            if (which == open.size()) {
                sockets.advanceMicros(60 * MICROS_PER_MILLI);
                return;
            }
            ScriptedEnvironment.ScriptedSocket conn = open.get(which);
            if (!conn.isConnected()) {
                if (orders.choose(2) == 0) {
                    conn.completeConnect();
                } else {
                    conn.reset();
                }
                return;
            }
            List<String> all = receivedAttemptIds(conn);
            String attempt = all.get(all.size() - 1);
            String late = duplicateResponses.getOrDefault(conn, "");
            duplicateResponses.remove(conn);
            responsesSent.merge(conn, 1, Integer::sum);
            boolean runs = true;
            switch (orders.choose(12)) {
                case 0 -> conn.receive(late + okResponse(attempt));
                case 1 -> { // and once more, later
                    duplicateResponses.put(conn, okResponse(attempt));
                    conn.receive(late + okResponse(attempt));
                }
                case 2 -> conn.receive(late + okResponse(attempt) + okResponse(attempt)); // and once more, at once
                case 3 -> {
                    runs = false;
                    conn.receive(
                            late + "HTTP/1.1 503 Busy\r\nReedmux-Not-Executed: 1\r\n" + "Content-Length: 0\r\n\r\n");
                }
                case 4 -> {
                    runs = false; // the address is another's
                    conn.receive(late + "HTTP/1.1 421 Other\r\nReedmux-Instance-Id: other\r\n"
                            + "Content-Length: 0\r\n\r\n");
                }
                case 5 ->
                    conn.receive(late + "HTTP/1.1 429 Many\r\nReedmux-Attempt-Id: " + attempt
                            + "\r\nContent-Length: 0\r\n\r\n"); // without the mark: it may have run
                case 6 -> conn.receive(late + okResponse("another")); // and nothing of ours
                case 7 -> conn.receive(late + okResponse(attempt).replace("Reedmux-Attempt-Id", "X-None"));
                case 8 -> {
                    conn.receive(late + okResponse(attempt).replaceAll("body of .*", "body"));
                    conn.reset();
                }
                case 10 -> { // a failure of its own without id, and once more, later
                    String failure = "HTTP/1.1 500 Bad\r\nX-For: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
                    duplicateResponses.put(conn, failure);
                    conn.receive(late + failure);
                }
                case 9 -> conn.receive(late + "what is this\r\n\r\n");
                default -> conn.reset();
            }
            if (runs) {
                executions.merge(attempt, 1, Integer::sum);
            }
        }

        /** What no order may lead to. */
        void check(String attempt, boolean repeatable) {
            for (ScriptedEnvironment.ScriptedSocket conn :
                    sockets.sockets) { // what no checker has ended may have run, too
                List<String> all = receivedAttemptIds(conn);
                if (all.size() > responsesSent.getOrDefault(conn, 0)
                        && all.get(all.size() - 1).equals(attempt)) {
                    executions.merge(attempt, 1, Integer::sum);
                }
            }
            int times = executions.getOrDefault(attempt, 0);
            assertTrue(repeatable || times <= 1, "TWICE: " + times);
            ProxyResponse answer = responses.get(attempt);
            assertTrue(answer != null, "no answer");
            int status = answer instanceof ProxyResponse.LocalResponse own
                    ? own.status()
                    : ((ProxyResponse.CheckerResponse) answer).head().status();
            assertFalse(
                    times > 0 && (status == 503 || status == 429 || status == 408 || status == 421),
                    "REFUSED: " + status);
            assertFalse(times > 0 && quotaRefunds.contains(attempt), "given back");
            if (answer instanceof ProxyResponse.CheckerResponse told && status == 500) {
                assertEquals(told.head().get("X-For"), attempt, "MIXED");
            }
            if (answer instanceof ProxyResponse.CheckerResponse told && status == 200) {
                assertEquals(new String(told.body(), StandardCharsets.ISO_8859_1), "body of " + attempt, "MIXED");
                assertEquals(told.head().get("Reedmux-Attempt-Id"), attempt, "MIXED");
            }
        }
    }

    /**
     * Two requests, the second one taken at any step: silence, a reset before, in and behind a head, late and
     * second answers, noise, other owners of the address, no id; with a further try, a second copy under way,
     * and a connection that goes from one request to the next. With five steps: 173,483 orders.
     */
    @Test
    public void noOrderMixesResponsesExecutesTwiceOrBreaksAPromise() {
        int plays = 0;
        for (int kinds = 0; kinds < 4; kinds++) {
            boolean first = kinds % 2 == 0;
            boolean second = kinds / 2 == 0;
            plays += ScheduleExplorer.exploreAll(1_000_000, orders -> {
                CheckerHarness harness = new CheckerHarness(2);
                harness.accept("one", first, null);
                harness.sockets.sockets.get(0).completeConnect();
                int next = orders.choose(STEPS);
                for (int i = 0; i < STEPS; i++) {
                    if (i == next) {
                        harness.accept("two", second, "text");
                    }
                    harness.step(orders);
                }
                harness.sockets.advanceMicros(900 * MICROS_PER_MILLI);
                harness.check("one", first);
                harness.check("two", second);
            });
        }
        assertTrue(plays > 25_000, plays + " orders");
    }

    /** A send that ends after each of its bytes, by a reset or by silence. */
    @Test
    public void requestOfWhichAByteWasSentMayHaveBeenExecuted() {
        CheckerHarness whole = new CheckerHarness(2);
        whole.accept("one", false, "0123456789");
        whole.sockets.sockets.get(0).completeConnect();
        int total = whole.sockets.sockets.get(0).writtenText().length();
        assertTrue(total > 100, total + " bytes");
        for (int sent = 0; sent <= total; sent++) {
            for (boolean silent : new boolean[] {true, false}) {
                CheckerHarness harness = new CheckerHarness(2);
                harness.sockets.socketCapacityBytes = sent;
                harness.accept("one", false, "0123456789");
                harness.sockets.socketCapacityBytes = Long.MAX_VALUE;
                ScriptedEnvironment.ScriptedSocket conn = harness.sockets.sockets.get(0);
                conn.completeConnect();
                assertEquals(conn.writtenText().length(), sent);
                if (!silent) {
                    conn.reset();
                    assertEquals(harness.sockets.sockets.size(), sent == 0 ? 2 : 1, sent + " bytes");
                }
                harness.sockets.advanceMicros(900 * MICROS_PER_MILLI);
                ProxyResponse answer = harness.responses.get("one");
                assertEquals(
                        ((ProxyResponse.LocalResponse) answer).status(),
                        silent ? 504 : sent == 0 ? 503 : 502,
                        sent + " bytes");
                assertEquals(harness.quotaRefunds.size(), !silent && sent == 0 ? 1 : 0);
            }
        }
    }
}
