package reedmux.simulation.harness;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1ServerConnection;

/** A stand-in for a checker: executes each request for a while and responds by the protocol, or faultily on demand. */
final class LoopbackChecker {
    private static final long HEARTBEAT_INTERVAL_MICROS = 500_000;
    /** The time of a request whose path ends with {@code slow}. */
    private static final long SLOW_REQUEST_MICROS = 400_000;

    private final Reactor reactor;
    private final TcpListener listener;
    private final String id;
    private final String service;
    private final String zone;
    private final List<InetSocketAddress> controlAddresses;
    private final long workMicros;
    private final List<String> executedAttempts = new ArrayList<>();
    private String phase = "ready";
    private long sequence;
    private int heartbeats;

    /** {@code workMicros}: the time of a usual request. */
    LoopbackChecker(
            Reactor reactor,
            String ip,
            String id,
            String plant,
            String zone,
            List<InetSocketAddress> control,
            long work)
            throws IOException {
        this.reactor = reactor;
        this.id = id;
        this.service = plant;
        this.zone = zone;
        this.controlAddresses = control;
        this.workMicros = work;
        listener = new TcpListener(
                reactor, new InetSocketAddress(ip, 0), wire -> new Http1ServerConnection(reactor, wire, this::serve));
        sendHeartbeat();
    }

    private void serve(Http1ServerConnection.Http1Request call, Http1ServerConnection from) {
        Http1Head head = call.head();
        String attempt = head.get("Reedmux-Attempt-Id");
        String target = head.get("Reedmux-Target-Instance");
        if (target != null && !target.equals(id)) {
            from.respond(Http1Head.response(421).add("Reedmux-Instance-Id", id), new byte[0]);
            return;
        } else if (attempt == null) {
            from.respond(Http1Head.response(400).add("Reedmux-Not-Executed", "1"), new byte[0]);
            return;
        }
        String how = head.path().substring(head.path().lastIndexOf('/') + 1);
        if (how.equals("shed")) {
            from.respond(Http1Head.response(503).add("Reedmux-Not-Executed", "1"), new byte[0]);
            return;
        }
        executedAttempts.add(attempt);
        String wrong = faultyResponse(how, attempt);
        if (wrong != null) {
            from.sendRawAndClose(wrong.getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        reactor.scheduleAfter(
                how.equals("slow") ? SLOW_REQUEST_MICROS : workMicros,
                () -> from.respond(
                        Http1Head.response(200)
                                .add("Reedmux-Attempt-Id", attempt)
                                .add("Reedmux-Server-Seal", "seal-" + id)
                                .add("Content-Type", "text/plain"),
                        (id + " has " + call.body().length + " bytes of " + head.path() + '\n')
                                .getBytes(StandardCharsets.UTF_8)));
    }

    /** The faulty response that a request's path asks for, or null. */
    private static String faultyResponse(String how, String attempt) {
        String seal = "Reedmux-Server-Seal: s\r\n";
        String good =
                "HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attempt + "\r\n" + seal + "Content-Length: 4\r\n\r\ngood";
        return switch (how) {
            case "stray" -> good.replace(attempt, "of-another").replace("good", "evil") + good;
            case "behind" -> good + good.replace("good", "evil");
            case "cut" -> good.replace("Content-Length: 4", "Content-Length: 400");
            case "endless" -> good.replace("Content-Length: 4\r\n", "");
            case "noseal" -> good.replace(seal, "");
            case "coded" -> good.replace(seal, seal + "Content-Encoding: gzip\r\n");
            case "other" -> good.replace(attempt, "of-another");
            case "noise" -> "what is this\r\n\r\n";
            case "silent" -> "";
            case "unmarked" -> good.replace("200 OK", "503 Service Unavailable");
            case "limited" -> good.replace("200 OK", "429 Too Many Requests");
            default -> null;
        };
    }

    /** The ids of the attempts that it has executed, in order. */
    List<String> executedAttempts() {
        return executedAttempts;
    }

    private void sendHeartbeat() {
        try {
            InetSocketAddress at = listener.address();
            String address = at.getAddress().getHostAddress() + ':' + at.getPort();
            String body = String.format(
                            "{'plant':'%s','address':'%s','zone':'%s','revision':'v1','capacity':3,"
                                    + "'phase':'%s','coldLeftMs':0,'seq':%d}",
                            service, address, zone, phase, ++sequence)
                    .replace('\'', '"');
            new OneShotHttpCall(
                    reactor,
                    controlAddresses.get(heartbeats++ % controlAddresses.size()),
                    OneShotHttpCall.post("/v1/Instances.Heartbeat/" + id, body),
                    (status, head, text) -> {});
        } catch (IOException e) {
            reactor.info("checker " + id + ": " + e.getMessage());
        }
        reactor.scheduleAfter(HEARTBEAT_INTERVAL_MICROS, this::sendHeartbeat);
    }

    /** Reports that it drains from its next heartbeat on. */
    void startDraining() {
        phase = "draining";
    }
}
