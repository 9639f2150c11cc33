package reedmux.simulation.soak;

import java.io.IOException;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Sends large request bodies to each proxy at a constant rate, each with a long time left and on a connection of its
 * own, whether or not earlier ones were answered. Must be used on the reactor's thread only.
 */
final class UploadTraffic {
    private static final long SECOND = 1_000_000;
    private static final int BODY_BYTES = 360_000;
    private static final int TIME_LEFT_MILLIS = 30_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 35 * SECOND;

    private final ClientContext context;
    private final Reactor reactor;
    private final int uploadsPerSecond;
    private final String body = "u".repeat(BODY_BYTES);
    private int uploads;
    private boolean stopped;

    UploadTraffic(ClientContext context, int uploadsPerSecond) {
        this.context = context;
        reactor = context.reactor();
        this.uploadsPerSecond = uploadsPerSecond;
    }

    void start() {
        if (uploadsPerSecond > 0) {
            reactor.scheduleAfter(SECOND / uploadsPerSecond, this::sendToAll);
        }
    }

    /** Sends no further uploads. */
    void stop() {
        stopped = true;
    }

    private void sendToAll() {
        if (stopped) {
            return;
        }
        context.proxies().forEach(this::send);
        reactor.scheduleAfter(SECOND / uploadsPerSecond, this::sendToAll);
    }

    private void send(SoakMachine proxy) {
        SimulatedClients.PlannedRequest planned = context.plan().get();
        String id = "u" + uploads++;
        long sentAt = reactor.now();
        context.reportSent(id, proxy, planned);
        byte[] request = OneShotHttpCall.request(
                "POST",
                planned.path(),
                "h.example",
                body,
                "Reedmux-Attempt-Id: " + id + "\r\n",
                "Reedmux-Time-Left-Ms: " + TIME_LEFT_MILLIS + "\r\n",
                "Authorization: Bearer " + planned.key() + "\r\n");
        try {
            new OneShotHttpCall(
                    reactor,
                    proxy.address(SoakMachine.FRONT_PORT_OFFSET),
                    request,
                    RESPONSE_TIMEOUT_MICROS,
                    (status, head, text) -> onResponse(id, proxy, sentAt, status, head, text));
        } catch (IOException e) {
            context.invariants().onServerClosed(id, true, "not connected");
        }
    }

    private void onResponse(String id, SoakMachine proxy, long sentAt, int status, Http1Head head, String text) {
        if (status == 0) {
            context.invariants().onServerClosed(id, stopped || proxy.isFaulty(sentAt), text);
            return;
        }
        String seal = head.get("Reedmux-Server-Seal");
        boolean own = seal != null && text.startsWith(seal + ' ') && text.endsWith(' ' + id);
        context.invariants().onResponse(id, status, own ? seal : null, reactor.now());
    }
}
