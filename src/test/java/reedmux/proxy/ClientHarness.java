package reedmux.proxy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RequestLimits;
import reedmux.proxy.request.ProxyResponse;

/** The connection of a client that the test plays over a scripted socket, and what it dispatches. */
final class ClientHarness implements ClientRequestHandler {
    private static final long MICROS_PER_SECOND = 1_000_000;

    final ScriptedEnvironment sockets = new ScriptedEnvironment();
    final List<ClientRequest> dispatched = new ArrayList<>();
    final List<ClientRequest> abandoned = new ArrayList<>();
    RequestLimits limits = new RequestLimits(300, 8 << 20, 3 * MICROS_PER_SECOND, 15 * MICROS_PER_SECOND);
    int closedCount;
    boolean deferRequests;
    /** Response to each request in place of its admission, or null. */
    ProxyResponse rejection;

    ScriptedEnvironment.ScriptedSocket socket;
    final ClientConnection client;

    ClientHarness() throws IOException {
        client = new ClientConnection(this, sockets.acceptConnection());
        socket = sockets.sockets.get(0);
    }

    /** Advances the time, and checks the timeouts every 250 ms. */
    void advanceMicros(long micros) {
        for (long passed = 0; passed < micros && !socket.isClosed(); passed += MICROS_PER_SECOND / 4) {
            sockets.advanceMicros(MICROS_PER_SECOND / 4);
            client.checkTimeouts(now(), false);
        }
    }

    @Override
    public long now() {
        return sockets.now();
    }

    @Override
    public void executeLater(Runnable task) {
        sockets.execute(task);
    }

    @Override
    public RequestLimits requestLimits() {
        return limits;
    }

    @Override
    public boolean isDraining() {
        return false;
    }

    @Override
    public boolean deferUntilStarted(ClientConnection connection, Http1Head head) {
        return deferRequests;
    }

    @Override
    public RequestAdmission.AdmissionResult admit(ClientConnection connection, Http1Head head, ClientRequestBody body) {
        if (rejection != null) {
            return new RequestAdmission.AdmissionResult(null, rejection);
        }
        String attemptId = head.get("Reedmux-Attempt-Id");
        return new RequestAdmission.AdmissionResult(new ClientRequest(connection, head, attemptId, null, body), null);
    }

    @Override
    public void dispatch(ClientRequest request) {
        dispatched.add(request);
    }

    @Override
    public void onRequestAbandoned(ClientRequest request, boolean wasDispatched) {
        abandoned.add(request);
    }

    @Override
    public void onClientClosed(ClientConnection connection) {
        closedCount++;
    }

    /** Returns a request without a body. */
    static String getRequest(String attemptId) {
        return "GET /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: " + attemptId + "\r\n\r\n";
    }

    /** Returns a response of the proxy itself. */
    static ProxyResponse localResponse(int status) {
        return new ProxyResponse.LocalResponse(status, "told " + status, -1);
    }
}
