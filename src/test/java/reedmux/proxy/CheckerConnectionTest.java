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

        CheckerHarness(int checkerCount) {
            for (int i = 0; i < checkerCount; i++) {
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

        void accept(String attemptId, boolean repeatable, String body) {
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
            ClientRequestBody requestBody = body == null ? null : new ClientRequestBody(body.length());
            if (requestBody != null) {
                requestBody.append(body.getBytes(StandardCharsets.ISO_8859_1));
                requestBody.finish();
            }
            ClientRequest request = new ClientRequest(
                    null,
                    Http1Head.request(body == null ? "GET" : "POST", "/x").add("Reedmux-Attempt-Id", attemptId),
                    attemptId,
                    null,
                    requestBody);
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
        public void schedule(long time, RequestEvent event) {
            sockets.reactor().scheduleAt(time, () -> tracker.onEvent(sockets.now(), event));
        }

        /** The ids of the requests that have come over a connection. */
        List<String> receivedAttemptIds(ScriptedEnvironment.ScriptedSocket socket) {
            List<String> attemptIds = new ArrayList<>();
            String text = socket.writtenText();
            for (int headerStart = text.indexOf(ATTEMPT_ID_HEADER);
                    headerStart >= 0;
                    headerStart = text.indexOf(ATTEMPT_ID_HEADER, headerStart + 1)) {
                attemptIds.add(
                        text.substring(headerStart + ATTEMPT_ID_HEADER.length(), text.indexOf('\r', headerStart)));
            }
            return attemptIds;
        }

        /** The connections on which a checker owes an answer, or that are not up yet. */
        List<ScriptedEnvironment.ScriptedSocket> socketsAwaitingChecker() {
            List<ScriptedEnvironment.ScriptedSocket> awaiting = new ArrayList<>();
            for (ScriptedEnvironment.ScriptedSocket socket : sockets.sockets) {
                int unanswered = receivedAttemptIds(socket).size() - responsesSent.getOrDefault(socket, 0);
                assertTrue(unanswered <= 1, "one request at a time");
                if (!socket.isClosed() && (unanswered == 1 || !socket.isConnected())) {
                    awaiting.add(socket);
                }
            }
            return awaiting;
        }

        static String okResponse(String attemptId) {
            String body = "body of " + attemptId;
            return "HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attemptId + "\r\nReedmux-Server-Seal: s\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** One step: time passes, or a checker does something. */
        void step(ScheduleExplorer explorer) {
            List<ScriptedEnvironment.ScriptedSocket> awaiting = socketsAwaitingChecker();
            int socketIndex = explorer.choose(awaiting.size() + 1);
            if (socketIndex == awaiting.size()) {
                sockets.advanceMicros(60 * MICROS_PER_MILLI);
                return;
            }
            ScriptedEnvironment.ScriptedSocket socket = awaiting.get(socketIndex);
            if (!socket.isConnected()) {
                if (explorer.choose(2) == 0) {
                    socket.completeConnect();
                } else {
                    socket.reset();
                }
                return;
            }
            List<String> receivedIds = receivedAttemptIds(socket);
            String attemptId = receivedIds.get(receivedIds.size() - 1);
            String duplicate = duplicateResponses.getOrDefault(socket, "");
            duplicateResponses.remove(socket);
            responsesSent.merge(socket, 1, Integer::sum);
            boolean mayExecute = true;
            switch (explorer.choose(12)) {
                case 0 -> socket.receive(duplicate + okResponse(attemptId));
                case 1 -> { // and once more, later
                    duplicateResponses.put(socket, okResponse(attemptId));
                    socket.receive(duplicate + okResponse(attemptId));
                }
                case 2 ->
                    socket.receive(duplicate + okResponse(attemptId) + okResponse(attemptId)); // and once more, at once
                case 3 -> {
                    mayExecute = false;
                    socket.receive(duplicate + "HTTP/1.1 503 Busy\r\nReedmux-Not-Executed: 1\r\n"
                            + "Content-Length: 0\r\n\r\n");
                }
                case 4 -> {
                    mayExecute = false; // the address is another's
                    socket.receive(duplicate + "HTTP/1.1 421 Other\r\nReedmux-Instance-Id: other\r\n"
                            + "Content-Length: 0\r\n\r\n");
                }
                case 5 ->
                    socket.receive(duplicate + "HTTP/1.1 429 Many\r\nReedmux-Attempt-Id: " + attemptId
                            + "\r\nContent-Length: 0\r\n\r\n"); // without the mark: it may have run
                case 6 -> socket.receive(duplicate + okResponse("another")); // and nothing of ours
                case 7 -> socket.receive(duplicate + okResponse(attemptId).replace("Reedmux-Attempt-Id", "X-None"));
                case 8 -> {
                    socket.receive(duplicate + okResponse(attemptId).replaceAll("body of .*", "body"));
                    socket.reset();
                }
                case 10 -> { // a failure of its own without id, and once more, later
                    String failure = "HTTP/1.1 500 Bad\r\nX-For: " + attemptId + "\r\nContent-Length: 0\r\n\r\n";
                    duplicateResponses.put(socket, failure);
                    socket.receive(duplicate + failure);
                }
                case 9 -> socket.receive(duplicate + "what is this\r\n\r\n");
                default -> socket.reset();
            }
            if (mayExecute) {
                executions.merge(attemptId, 1, Integer::sum);
            }
        }

        /** What no order may lead to. */
        void verify(String attemptId, boolean repeatable) {
            for (ScriptedEnvironment.ScriptedSocket socket :
                    sockets.sockets) { // what no checker has ended may have run, too
                List<String> receivedIds = receivedAttemptIds(socket);
                if (receivedIds.size() > responsesSent.getOrDefault(socket, 0)
                        && receivedIds.get(receivedIds.size() - 1).equals(attemptId)) {
                    executions.merge(attemptId, 1, Integer::sum);
                }
            }
            int executionCount = executions.getOrDefault(attemptId, 0);
            assertTrue(repeatable || executionCount <= 1, "TWICE: " + executionCount);
            ProxyResponse response = responses.get(attemptId);
            assertTrue(response != null, "no answer");
            int status = response instanceof ProxyResponse.LocalResponse localResponse
                    ? localResponse.status()
                    : ((ProxyResponse.CheckerResponse) response).head().status();
            assertFalse(
                    executionCount > 0 && (status == 503 || status == 429 || status == 408 || status == 421),
                    "REFUSED: " + status);
            assertFalse(executionCount > 0 && quotaRefunds.contains(attemptId), "given back");
            if (response instanceof ProxyResponse.CheckerResponse checkerResponse && status == 500) {
                assertEquals(checkerResponse.head().get("X-For"), attemptId, "MIXED");
            }
            if (response instanceof ProxyResponse.CheckerResponse checkerResponse && status == 200) {
                assertEquals(
                        new String(checkerResponse.body(), StandardCharsets.ISO_8859_1),
                        "body of " + attemptId,
                        "MIXED");
                assertEquals(checkerResponse.head().get("Reedmux-Attempt-Id"), attemptId, "MIXED");
            }
        }
    }

    /**
     * Two requests, the second one taken at any step: silence, a reset before, in and behind a head, late and
     * second answers, noise, other owners of the address, no id; with a further try, a second copy under way,
     * and a connection that goes from one request to the next. With five steps: 173,483 orders.
     */
    @Test
    public void noScheduleMixesResponsesOrExecutesTwiceOrRejectsAnExecutedRequest() {
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
                harness.verify("one", first);
                harness.verify("two", second);
            });
        }
        assertTrue(plays > 25_000, plays + " orders");
    }

    /** A send that ends after each of its bytes, by a reset or by silence. */
    @Test
    public void partlySentRequestMayHaveBeenExecuted() {
        CheckerHarness unlimited = new CheckerHarness(2);
        unlimited.accept("one", false, "0123456789");
        unlimited.sockets.sockets.get(0).completeConnect();
        int requestBytes = unlimited.sockets.sockets.get(0).writtenText().length();
        assertTrue(requestBytes > 100, requestBytes + " bytes");
        for (int sentBytes = 0; sentBytes <= requestBytes; sentBytes++) {
            for (boolean silent : new boolean[] {true, false}) {
                CheckerHarness harness = new CheckerHarness(2);
                harness.sockets.socketCapacityBytes = sentBytes;
                harness.accept("one", false, "0123456789");
                harness.sockets.socketCapacityBytes = Long.MAX_VALUE;
                ScriptedEnvironment.ScriptedSocket socket = harness.sockets.sockets.get(0);
                socket.completeConnect();
                assertEquals(socket.writtenText().length(), sentBytes);
                if (!silent) {
                    socket.reset();
                    assertEquals(harness.sockets.sockets.size(), sentBytes == 0 ? 2 : 1, sentBytes + " bytes");
                }
                harness.sockets.advanceMicros(900 * MICROS_PER_MILLI);
                ProxyResponse response = harness.responses.get("one");
                assertEquals(
                        ((ProxyResponse.LocalResponse) response).status(),
                        silent ? 504 : sentBytes == 0 ? 503 : 502,
                        sentBytes + " bytes");
                assertEquals(harness.quotaRefunds.size(), !silent && sentBytes == 0 ? 1 : 0);
            }
        }
    }
}
