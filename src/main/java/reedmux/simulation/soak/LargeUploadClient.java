package reedmux.simulation.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * A client that sends one large body after the other, with a length or in chunks. The checkers compare the digest of
 * what they receive. Must be used on the reactor's thread only.
 */
final class LargeUploadClient {
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int TIME_LEFT_MILLIS = 10_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 15_000_000;
    private static final long PAUSE_MICROS = 100_000;

    private final ClientContext context;
    private final Reactor reactor;
    private final Random random;
    private final String name;
    private int requests;
    private boolean stopped;

    LargeUploadClient(ClientContext context, Random random, String name) {
        this.context = context;
        this.random = random;
        this.name = name;
        reactor = context.reactor();
    }

    void start() {
        if (!stopped) {
            send(context.anyProxy());
        }
    }

    /** Sends no further uploads. */
    void stop() {
        stopped = true;
    }

    private void send(SoakMachine proxy) {
        SimulatedClients.PlannedRequest planned = context.plan().get();
        String id = name + '-' + requests++;
        long sentAt = reactor.now();
        context.reportSent(id, proxy, planned);
        try {
            new OneShotHttpCall(
                    reactor,
                    proxy.address(SoakMachine.FRONT_PORT_OFFSET),
                    encode(id, planned, DigestedBody.draw(random), random.nextBoolean()),
                    RESPONSE_TIMEOUT_MICROS,
                    (status, head, text) -> onResponse(id, proxy, sentAt, status, head, text));
        } catch (IOException e) {
            context.invariants().onServerClosed(id, true, "not connected");
            reactor.scheduleAfter(PAUSE_MICROS, this::start);
        }
    }

    private static byte[] encode(String id, SimulatedClients.PlannedRequest planned, byte[] body, boolean chunked) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + body.length / 100 + CHUNK_BYTES);
        out.writeBytes(("POST " + planned.path() + " HTTP/1.1\r\nHost: h.example\r\n"
                        + "Reedmux-Attempt-Id: " + id + "\r\nReedmux-Time-Left-Ms: " + TIME_LEFT_MILLIS
                        + "\r\nAuthorization: Bearer " + planned.key() + "\r\n"
                        + DigestedBody.HEADER + ": " + DigestedBody.digest(body) + "\r\n"
                        + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length) + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        if (!chunked) {
            out.writeBytes(body);
            return out.toByteArray();
        }
        for (int start = 0; start < body.length; start += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - start);
            out.writeBytes((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, start, length);
            out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    private void onResponse(String id, SoakMachine proxy, long sentAt, int status, Http1Head head, String text) {
        if (status == 0) {
            context.invariants().onServerClosed(id, stopped || proxy.isFaulty(sentAt), text);
        } else {
            String seal = head.get("Reedmux-Server-Seal");
            boolean own = seal != null && text.startsWith(seal + ' ') && text.endsWith(' ' + id);
            context.invariants().onResponse(id, status, own ? seal : null, reactor.now());
        }
        reactor.scheduleAfter(PAUSE_MICROS, this::start);
    }
}
