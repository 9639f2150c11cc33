package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * The connection pool and the request tracker of a proxy, with checkers that the test plays over scripted sockets.
 */
final class CheckerHarness implements RequestPort {
    private static final long MICROS_PER_MILLI = 1000;
    /** Size of the pieces in which a body arrives. */
    private static final int PIECE_BYTES = 64 * 1024;

    private static final String ATTEMPT_ID_HEADER = "Reedmux-Attempt-Id: ";

    final ScriptedEnvironment sockets = new ScriptedEnvironment();
    final LoadBalancer loadBalancer = new LoadBalancer("me", "here", 1);
    final RequestTracker tracker = new RequestTracker(this, loadBalancer, new RetryBudget(1, 100, false), 1);
    final CheckerConnectionPool pool = new CheckerConnectionPool(sockets.reactor(), tracker);
    final Map<String, ProxyResponse> responses = new HashMap<>();
    final List<String> quotaRefunds = new ArrayList<>();
    /** Number of responses that the checker has sent on each connection. */
    final Map<ScriptedEnvironment.ScriptedSocket, Integer> responsesSent = new HashMap<>();
    /** Number of checkers that may have executed each request, by attempt id. */
    final Map<String, Integer> executions = new HashMap<>();
    /** Responses that the checker will repeat before its next response on the same connection. */
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
        ClientRequestBody requestBody = body == null
                ? null
                : new ClientRequestBody(body.length(), sockets.reactor().bufferBudget());
        if (requestBody != null) {
            append(requestBody, body);
            requestBody.finish();
        }
        acceptWithBody(attemptId, repeatable, requestBody);
    }

    /** Appends a text to a body in pieces. */
    static void append(ClientRequestBody body, String text) {
        for (int start = 0; start < text.length(); start += PIECE_BYTES) {
            String piece = text.substring(start, Math.min(text.length(), start + PIECE_BYTES));
            body.append(piece.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Accepts a request with a body that may still be received; {@code requestBody} is null if there is none. */
    void acceptWithBody(String attemptId, boolean repeatable, ClientRequestBody requestBody) {
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
        ClientRequest request = new ClientRequest(
                null,
                Http1Head.request(requestBody == null ? "GET" : "POST", "/x").add("Reedmux-Attempt-Id", attemptId),
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
        assertFalse(responses.containsKey(attemptId), "received a second response");
        responses.put(attemptId, response);
    }

    @Override
    public void refundQuota(ProxyRequest request) {
        quotaRefunds.add(((ClientRequest) request.source()).attemptId());
    }

    @Override
    public ScheduledEvent schedule(long time, RequestEvent event) {
        return sockets.reactor().scheduleAt(time, () -> tracker.onEvent(sockets.now(), event))::cancel;
    }

    /** Returns the attempt ids of the requests that were sent on a connection. */
    List<String> receivedAttemptIds(ScriptedEnvironment.ScriptedSocket socket) {
        List<String> attemptIds = new ArrayList<>();
        String text = socket.writtenText();
        for (int headerStart = text.indexOf(ATTEMPT_ID_HEADER);
                headerStart >= 0;
                headerStart = text.indexOf(ATTEMPT_ID_HEADER, headerStart + 1)) {
            attemptIds.add(text.substring(headerStart + ATTEMPT_ID_HEADER.length(), text.indexOf('\r', headerStart)));
        }
        return attemptIds;
    }

    /** Returns the open connections that await a response of the checker, or that are not established yet. */
    List<ScriptedEnvironment.ScriptedSocket> socketsAwaitingChecker() {
        List<ScriptedEnvironment.ScriptedSocket> awaiting = new ArrayList<>();
        for (ScriptedEnvironment.ScriptedSocket socket : sockets.sockets) {
            int unanswered = receivedAttemptIds(socket).size() - responsesSent.getOrDefault(socket, 0);
            assertTrue(unanswered <= 1, "more than one unanswered request on a connection");
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

    /** Performs one step: either time passes or a checker acts. */
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
        String id = receivedIds.get(receivedIds.size() - 1);
        String duplicate = duplicateResponses.getOrDefault(socket, "");
        duplicateResponses.remove(socket);
        responsesSent.merge(socket, 1, Integer::sum);
        boolean mayExecute = true;
        switch (explorer.choose(12)) {
            case 0 -> socket.receive(duplicate + okResponse(id));
            case 1 -> { // repeated before the next response
                duplicateResponses.put(socket, okResponse(id));
                socket.receive(duplicate + okResponse(id));
            }
            case 2 -> socket.receive(duplicate + okResponse(id) + okResponse(id)); // repeated at once
            case 3 -> {
                mayExecute = false;
                socket.receive(
                        duplicate + "HTTP/1.1 503 Busy\r\nReedmux-Not-Executed: 1\r\n" + "Content-Length: 0\r\n\r\n");
            }
            case 4 -> {
                mayExecute = false; // another instance has the address
                socket.receive(duplicate + "HTTP/1.1 421 Other\r\nReedmux-Instance-Id: other\r\n"
                        + "Content-Length: 0\r\n\r\n");
            }
            case 5 -> // without Reedmux-Not-Executed, so it may have been executed
                socket.receive(
                        duplicate + "HTTP/1.1 429 Many\r\nReedmux-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            case 6 -> socket.receive(duplicate + okResponse("another")); // only a response to another request
            case 7 -> socket.receive(duplicate + okResponse(id).replace("Reedmux-Attempt-Id", "X-None"));
            case 8 -> {
                socket.receive(duplicate + okResponse(id).replaceAll("body of .*", "body"));
                socket.reset();
            }
            case 10 -> { // a failure without an attempt id, repeated before the next response
                String failure = "HTTP/1.1 500 Bad\r\nX-For: " + id + "\r\nContent-Length: 0\r\n\r\n";
                duplicateResponses.put(socket, failure);
                socket.receive(duplicate + failure);
            }
            case 9 -> socket.receive(duplicate + "what is this\r\n\r\n");
            default -> socket.reset();
        }
        if (mayExecute) {
            executions.merge(id, 1, Integer::sum);
        }
    }

    /** Verifies the invariants for one request, which hold for every schedule. */
    void verify(String attemptId, boolean repeatable) {
        // A request that no checker has answered may have been executed too.
        for (ScriptedEnvironment.ScriptedSocket socket : sockets.sockets) {
            List<String> receivedIds = receivedAttemptIds(socket);
            if (receivedIds.size() > responsesSent.getOrDefault(socket, 0)
                    && receivedIds.get(receivedIds.size() - 1).equals(attemptId)) {
                executions.merge(attemptId, 1, Integer::sum);
            }
        }
        int executionCount = executions.getOrDefault(attemptId, 0);
        assertTrue(repeatable || executionCount <= 1, "TWICE: number of executions: " + executionCount);
        ProxyResponse response = responses.get(attemptId);
        assertTrue(response != null, "no response");
        int status = response instanceof ProxyResponse.LocalResponse localResponse
                ? localResponse.status()
                : ((ProxyResponse.CheckerResponse) response).head().status();
        assertFalse(
                executionCount > 0 && (status == 503 || status == 429 || status == 408 || status == 421),
                "REFUSED: may have been executed, but was rejected with status " + status);
        assertFalse(
                executionCount > 0 && quotaRefunds.contains(attemptId),
                "quota refunded, but the request may have been executed");
        if (response instanceof ProxyResponse.CheckerResponse checkerResponse && status == 500) {
            assertEquals(checkerResponse.head().get("X-For"), attemptId, "MIXED: response to another request");
        }
        if (response instanceof ProxyResponse.CheckerResponse checkerResponse && status == 200) {
            assertEquals(
                    new String(checkerResponse.body().toByteArray(), StandardCharsets.ISO_8859_1),
                    "body of " + attemptId,
                    "MIXED: body of another response");
            assertEquals(
                    checkerResponse.head().get("Reedmux-Attempt-Id"), attemptId, "MIXED: response to another request");
        }
    }
}
