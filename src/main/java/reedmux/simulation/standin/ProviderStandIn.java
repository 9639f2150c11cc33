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
 * A provider that runs a limited number of requests concurrently, queues a limited number of others, and fails as its
 * script says. It counts the executions of each request by trace id.
 */
public final class ProviderStandIn extends StandInServer {
    /** How the provider treats a request. */
    public enum ProviderStandInBehavior {
        /** Runs the request and responds with status 200 and the verdict for its id. */
        ANSWERS,
        /** Rejects the request with status 503 and a header which says that it was not run. */
        FULL,
        /** Runs the request and responds with status 500. */
        ERRS,
        /** Counts the request as run, frees its core, sends no response and closes the connection after 30 seconds. */
        HANGS,
        /** Runs the request for 20 times the usual duration and responds normally. */
        SLOW,
        /** Resets the connection without running the request. */
        RESETS_BEFORE,
        /** Runs the request and resets the connection instead of responding. */
        RESETS_AFTER,
        /** Runs the request, sends part of a response and resets the connection. */
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

    /**
     * Creates a provider on a free port of the loopback address.
     *
     * @param cores         the number of requests that run concurrently
     * @param queueCapacity the number of requests that may wait for a core before further ones are rejected
     * @param workMillis    the duration of a request, in milliseconds
     */
    public ProviderStandIn(int cores, int queueCapacity, long workMillis) throws IOException {
        this.cores = new Semaphore(cores);
        this.queueCapacity = queueCapacity;
        this.workMillis = workMillis;
    }

    /** Sets the function that chooses the behavior for each subsequent request by its trace id. */
    public void setScript(Function<String, ProviderStandInBehavior> newScript) {
        script = newScript;
    }

    /** Returns how many times each request has started to run on this provider, by trace id. */
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
        ProviderStandInBehavior behavior = script.apply(id);
        if (behavior == ProviderStandInBehavior.RESETS_BEFORE) {
            reset(socket); // the body or the last byte of the header may still be unread
            return false;
        }
        readBody(connection, request);
        if (behavior == ProviderStandInBehavior.FULL
                || waiting.get() >= queueCapacity && cores.availablePermits() == 0) {
            ClassicHttpResponse rejection = response(503, new byte[0]);
            rejection.setHeader("X-Never-Ran", "1");
            send(connection, rejection);
            return true;
        }
        waiting.incrementAndGet();
        cores.acquire();
        waiting.decrementAndGet();
        try {
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            if (behavior == ProviderStandInBehavior.HANGS) {
                cores.release();
                try {
                    Thread.sleep(HANG_MILLIS);
                } finally {
                    cores.acquire();
                }
                return false;
            }
            Thread.sleep(behavior == ProviderStandInBehavior.SLOW ? SLOW_FACTOR * workMillis : workMillis);
        } finally {
            cores.release();
        }
        byte[] verdict = ("verdict " + id).getBytes(StandardCharsets.UTF_8);
        if (behavior == ProviderStandInBehavior.RESETS_AFTER) {
            reset(socket);
            return false;
        } else if (behavior == ProviderStandInBehavior.HALF_ANSWERS) {
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            reset(socket);
            return false;
        }
        send(
                connection,
                behavior == ProviderStandInBehavior.ERRS ? response(500, new byte[0]) : response(200, verdict));
        return true;
    }
}
