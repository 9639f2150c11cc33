package reedmux.simulation.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;

/**
 * A discovery service that always responds with the full member list. A watch request (long poll) is held until the
 * revision changes or its timeout expires, for 60 seconds at most.
 */
public final class DiscoveryStandIn extends StandInServer {
    /** How the server responds to a request. */
    public enum DiscoveryStandInBehavior {
        /** Sends the member list. */
        ANSWERS,
        /** Sends no response and closes the connection after a minute. */
        SILENT,
        /** Sends status 200 with truncated JSON. */
        NONSENSE
    }

    private static final long MAX_WATCH_MILLIS = 60_000;
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, String> phases = new LinkedHashMap<>();
    private long revision = 1;
    private volatile DiscoveryStandInBehavior behavior = DiscoveryStandInBehavior.ANSWERS;

    /** Creates a server that listens on a free port of the loopback address. */
    public DiscoveryStandIn() throws IOException {}

    /** Lists a provider with the given phase, or removes it from the list if the phase is {@code Gone}. */
    public synchronized void setPhase(String id, String hostPort, String phase) {
        members.put(id, hostPort);
        phases.put(id, phase);
        revision++;
        notifyAll();
    }

    /** Sets how the server responds to subsequent requests. */
    public void setBehavior(DiscoveryStandInBehavior newBehavior) {
        behavior = newBehavior;
    }

    /** Returns the full member list in the JSON format of the discovery protocol. */
    public synchronized String fullList() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("revision", revision);
            json.writeBooleanField("complete", true);
            json.writeArrayFieldStart("members");
            for (Map.Entry<String, String> member : members.entrySet()) {
                if (!phases.get(member.getKey()).equals("Gone")) {
                    json.writeStartObject();
                    json.writeStringField("id", member.getKey());
                    json.writeStringField("host_port", member.getValue());
                    json.writeStringField("locality", "hall-a");
                    json.writeStringField("flavor", "std-2c");
                    json.writeNumberField("cell", 0);
                    json.writeStringField("phase", phases.get(member.getKey()));
                    json.writeNumberField("size", 1.0);
                    json.writeNumberField("up_since_ms", 0);
                    json.writeEndObject();
                }
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Override
    boolean handle(Socket socket, DefaultBHttpServerConnection connection, ClassicHttpRequest request)
            throws IOException, HttpException, InterruptedException {
        readBody(connection, request);
        DiscoveryStandInBehavior currentBehavior = behavior;
        if (currentBehavior == DiscoveryStandInBehavior.SILENT) {
            Thread.sleep(MAX_WATCH_MILLIS);
            return false;
        } else if (currentBehavior == DiscoveryStandInBehavior.NONSENSE) {
            send(connection, response(200, "{\"revision\":".getBytes(StandardCharsets.UTF_8)));
            return true;
        }
        long since = queryParameter(request.getPath(), "since");
        if (since >= 0) {
            awaitChange(since, Math.min(MAX_WATCH_MILLIS, queryParameter(request.getPath(), "timeout_ms")));
        }
        send(connection, response(200, fullList().getBytes(StandardCharsets.UTF_8)));
        return true;
    }

    private synchronized void awaitChange(long since, long timeoutMillis) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        for (long remainingMillis = timeoutMillis;
                revision <= since && remainingMillis > 0;
                remainingMillis = (deadline - System.nanoTime()) / 1_000_000) {
            wait(remainingMillis);
        }
    }

    private static long queryParameter(String target, String name) {
        int start = target.indexOf(name + '=');
        if (start < 0) {
            return -1;
        }
        int end = target.indexOf('&', start);
        return Long.parseLong(target.substring(start + name.length() + 1, end < 0 ? target.length() : end));
    }
}
