package reedmux.simulation.standin;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;

/**
 * A provider: runs so many requests at once, lets some wait, and fails as it is told to. Counts runs by
 * id.
 */
public final class ProviderStandIn extends StandInServer {
    /** What it does with a request. */
    public enum ProviderStandInBehavior {
        ANSWERS,
        FULL,
        ERRS,
        HANGS,
        SLOW,
        RESETS_BEFORE,
        RESETS_AFTER,
        HALF_ANSWERS
    }

    private static final long SLOW_FACTOR = 20;
    private static final int HANG_MILLIS = 30_000;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Semaphore cores;
    private final AtomicInteger waiting = new AtomicInteger();
    private final int queueCapacity;
    private final long workMillis;
    private volatile Function<String, ProviderStandInBehavior> script = id -> ProviderStandInBehavior.ANSWERS;

    /** {@code queueCapacity} requests may wait for one of the cores. */
    public ProviderStandIn(int cores, int room, long workMillis) throws IOException {
        this.cores = new Semaphore(cores);
        this.queueCapacity = room;
        this.workMillis = workMillis;
    }

    /** What it does from now on, by the id of the request. */
    public void setScript(Function<String, ProviderStandInBehavior> told) {
        script = told;
    }

    /** How often each request has begun to run here. */
    public Map<String, AtomicInteger> runs() {
        return runs;
    }

    @Override
    boolean handle(Socket socket, DefaultBHttpServerConnection connection, ClassicHttpRequest request)
            throws IOException, HttpException, InterruptedException {
        if (request.getPath().equals("/healthz")) {
            readBody(connection, request);
            send(connection, response(200, new byte[0]));
            return true;
        }
        String id = header(request, "X-Trace-Id");
        ProviderStandInBehavior does = script.apply(id);
        if (does == ProviderStandInBehavior.RESETS_BEFORE) {
            reset(socket); // with the body, or the head's last byte, perhaps unread
            return false;
        }
        readBody(connection, request);
        if (does == ProviderStandInBehavior.FULL || waiting.get() >= queueCapacity && cores.availablePermits() == 0) {
            ClassicHttpResponse full = response(503, new byte[0]);
            full.setHeader("X-Never-Ran", "1");
            send(connection, full);
            return true;
        }
        waiting.incrementAndGet();
        cores.acquire();
        waiting.decrementAndGet();
        try {
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            if (does == ProviderStandInBehavior.HANGS) {
                cores.release();
                try {
                    Thread.sleep(HANG_MILLIS);
                } finally {
                    cores.acquire();
                }
                return false;
            }
            Thread.sleep(does == ProviderStandInBehavior.SLOW ? SLOW_FACTOR * workMillis : workMillis);
        } finally {
            cores.release();
        }
        byte[] verdict = ("verdict " + id).getBytes(StandardCharsets.UTF_8);
        if (does == ProviderStandInBehavior.RESETS_AFTER) {
            reset(socket);
            return false;
        } else if (does == ProviderStandInBehavior.HALF_ANSWERS) {
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            reset(socket);
            return false;
        }
        send(connection, does == ProviderStandInBehavior.ERRS ? response(500, new byte[0]) : response(200, verdict));
        return true;
    }
}
