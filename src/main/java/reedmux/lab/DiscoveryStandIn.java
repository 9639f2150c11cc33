package reedmux.lab;

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

/** Discovery: tells the whole list, and holds a watch until there is news. */
public final class DiscoveryStandIn extends StandIn {
    /** What it does with a question. */
    public enum Does {
        ANSWERS,
        SILENT,
        NONSENSE
    }

    private static final long LONGEST_WATCH_MILLIS = 60_000;
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, String> phases = new LinkedHashMap<>();
    private long revision = 1;
    private volatile Does does = Does.ANSWERS;

    public DiscoveryStandIn() throws IOException {}

    /** Lists a provider under a phase, or strikes it off at {@code Gone}. */
    public synchronized void list(String id, String hostPort, String phase) {
        members.put(id, hostPort);
        phases.put(id, phase);
        revision++;
        notifyAll();
    }

    public void does(Does told) {
        does = told;
    }

    /** The whole list in discovery's form. */
    public synchronized String whole() throws IOException {
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
        body(connection, request);
        Does now = does;
        if (now == Does.SILENT) {
            Thread.sleep(LONGEST_WATCH_MILLIS);
            return false;
        } else if (now == Does.NONSENSE) {
            send(connection, response(200, "{\"revision\":".getBytes(StandardCharsets.UTF_8)));
            return true;
        }
        long since = number(request.getPath(), "since");
        if (since >= 0) {
            await(since, Math.min(LONGEST_WATCH_MILLIS, number(request.getPath(), "timeout_ms")));
        }
        send(connection, response(200, whole().getBytes(StandardCharsets.UTF_8)));
        return true;
    }

    private synchronized void await(long since, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = millis; revision <= since && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
    }

    private static long number(String target, String name) {
        int at = target.indexOf(name + '=');
        if (at < 0) {
            return -1;
        }
        int end = target.indexOf('&', at);
        return Long.parseLong(target.substring(at + name.length() + 1, end < 0 ? target.length() : end));
    }
}
