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

/**
 * A checker that the loopback gateway forwards requests to. The last segment of a request's path selects a faulty
 * response. Must be used on the reactor's thread only.
 */
final class LoopbackChecker {
    private static final long HEARTBEAT_INTERVAL_MICROS = 500_000;
    /** Execution time of a request whose path ends with {@code slow}. */
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

    /** Starts a checker on a free port of {@code ip} that takes {@code workMicros} for most requests. */
    LoopbackChecker(
            Reactor reactor,
            String ip,
            String id,
            String service,
            String zone,
            List<InetSocketAddress> controlAddresses,
            long workMicros)
            throws IOException {
        this.reactor = reactor;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.controlAddresses = controlAddresses;
        this.workMicros = workMicros;
        listener = new TcpListener(
                reactor,
                new InetSocketAddress(ip, 0),
                connection -> new Http1ServerConnection(reactor, connection, this::serve));
        sendHeartbeat();
    }

    private void serve(Http1ServerConnection.Http1Request request, Http1ServerConnection connection) {
        Http1Head head = request.head();
        String attempt = head.get("Reedmux-Attempt-Id");
        String target = head.get("Reedmux-Target-Instance");
        if (target != null && !target.equals(id)) {
            connection.respond(Http1Head.response(421).add("Reedmux-Instance-Id", id), new byte[0]);
            return;
        } else if (attempt == null) {
            connection.respond(Http1Head.response(400).add("Reedmux-Not-Executed", "1"), new byte[0]);
            return;
        }
        String behavior = head.path().substring(head.path().lastIndexOf('/') + 1);
        if (behavior.equals("shed")) {
            connection.respond(Http1Head.response(503).add("Reedmux-Not-Executed", "1"), new byte[0]);
            return;
        }
        executedAttempts.add(attempt);
        String faulty = faultyResponse(behavior, attempt);
        if (faulty != null) {
            connection.sendRawAndClose(faulty.getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        reactor.scheduleAfter(
                behavior.equals("slow") ? SLOW_REQUEST_MICROS : workMicros,
                () -> connection.respond(
                        Http1Head.response(200)
                                .add("Reedmux-Attempt-Id", attempt)
                                .add("Reedmux-Server-Seal", "seal-" + id)
                                .add("Content-Type", "text/plain"),
                        (id + " has " + request.body().length + " bytes of " + head.path() + '\n')
                                .getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the faulty response that the path of a request selects, or null if it selects none. */
    private static String faultyResponse(String behavior, String attempt) {
        String seal = "Reedmux-Server-Seal: s\r\n";
        String good =
                "HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attempt + "\r\n" + seal + "Content-Length: 4\r\n\r\ngood";
        return switch (behavior) {
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

    /** Returns the ids of the executed attempts, in order. */
    List<String> executedAttempts() {
        return executedAttempts;
    }

    private void sendHeartbeat() {
        try {
            InetSocketAddress listening = listener.address();
            String address = listening.getAddress().getHostAddress() + ':' + listening.getPort();
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

    /** Reports the phase {@code draining} from the next heartbeat on. */
    void startDraining() {
        phase = "draining";
    }
}
