package reedmux.simulation.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/** Consumers: send requests at a pace of their own, whatever comes of those before, and note each answer. */
public final class ConsumerStandIn implements AutoCloseable {

    /** A request to be sent. */
    public record ScenarioRequest(
            String id,
            String requestClass,
            boolean idempotent,
            long customer,
            int units,
            long deadlineMillis,
            int gatekeepers) {}

    /**
     * What came of one; times in nanoseconds of the system's monotonic clock.
     *
     * @param status     the answer's, or 0 where the connection was refused, -1 where it broke
     * @param retryAfterSeconds seconds, or a number below nought where not told
     * @param bodyMatches whether the body was the one verdict that belongs to the request
     */
    public record RequestOutcome(
            ScenarioRequest request,
            long sentAtNanos,
            long endedAtNanos,
            int status,
            double retryAfterSeconds,
            boolean bodyMatches) {
        /** How long the request took, in milliseconds. */
        public double millis() {
            return (endedAtNanos - sentAtNanos) / 1e6;
        }
    }

    private static final int TIMEOUT_MILLIS = 15_000;
    private final Queue<RequestOutcome> outcomes = new ConcurrentLinkedQueue<>();
    private final Deque<DefaultBHttpClientConnection> idleConnections = new ArrayDeque<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "consumer");
        thread.setDaemon(true);
        return thread;
    });
    private final InetSocketAddress gatekeeper;

    private final String host;

    /** Sends its requests to one gatekeeper. */
    public ConsumerStandIn(InetSocketAddress gatekeeper) {
        this(gatekeeper, null);
    }

    /** Consumers of one host, which they name in each request. */
    public ConsumerStandIn(InetSocketAddress gatekeeper, String host) {
        this.gatekeeper = gatekeeper;
        this.host = host;
    }

    /** Everything that was answered or broke off, in the order of the ends. */
    public List<RequestOutcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /** Sends a request, over a kept connection if there is one, and returns at once. */
    public void send(ScenarioRequest asked) {
        threads.execute(() -> outcomes.add(exchange(asked)));
    }

    /** Sends a request and waits for what comes of it; not noted under {@link #outcomes}. */
    public RequestOutcome sendAndWait(ScenarioRequest asked) {
        return exchange(asked);
    }

    private RequestOutcome exchange(ScenarioRequest asked) {
        long sentAt = System.nanoTime();
        boolean connected = false;
        try {
            DefaultBHttpClientConnection connection;
            synchronized (idleConnections) {
                connection = idleConnections.poll();
            }
            if (connection == null || !connection.isOpen() || connection.isStale()) {
                connection = connect();
            }
            connected = true;
            connection.sendRequestHeader(request(asked));
            if (!asked.idempotent()) {
                connection.sendRequestEntity(request(asked));
            }
            connection.flush();
            ClassicHttpResponse response = connection.receiveResponseHeader();
            connection.receiveResponseEntity(response);
            String body = response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
            RequestOutcome one = new RequestOutcome(
                    asked,
                    sentAt,
                    System.nanoTime(),
                    response.getCode(),
                    seconds(response.getFirstHeader("Retry-After")),
                    body.equals("verdict " + asked.id()));
            Header close = response.getFirstHeader("Connection");
            if (close != null && close.getValue().equals("close")) {
                connection.close();
            } else {
                synchronized (idleConnections) {
                    idleConnections.push(connection);
                }
            }
            return one;
        } catch (IOException | HttpException e) {
            return new RequestOutcome(asked, sentAt, System.nanoTime(), connected ? -1 : 0, -1, false);
        }
    }

    private DefaultBHttpClientConnection connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(gatekeeper, TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(Http1Config.DEFAULT);
        connection.bind(socket);
        return connection;
    }

    private ClassicHttpRequest request(ScenarioRequest asked) {
        ClassicHttpRequest request =
                new BasicClassicHttpRequest(asked.idempotent() ? "GET" : "POST", '/' + asked.requestClass());
        if (host != null) {
            request.setHeader("Host", host);
        }
        request.setHeader("X-Trace-Id", asked.id());
        request.setHeader("X-Plan", "full-plant");
        request.setHeader("X-Customer", String.format(Locale.ROOT, "%016x", asked.customer()));
        request.setHeader("X-Expires-In-Ms", asked.deadlineMillis());
        request.setHeader("X-Quota", "units=" + asked.units() + ",spread=" + asked.gatekeepers() + ",first=0");
        if (!asked.idempotent()) {
            request.setEntity(new ByteArrayEntity(new byte[200], ContentType.APPLICATION_OCTET_STREAM));
            request.setHeader("Content-Length", 200);
        }
        return request;
    }

    private static double seconds(Header header) {
        return header == null ? -1 : Double.parseDouble(header.getValue());
    }

    /** Whether the gatekeeper says that it can serve. */
    public boolean isGatekeeperReady() {
        try (DefaultBHttpClientConnection connection = connect()) {
            connection.sendRequestHeader(new BasicClassicHttpRequest("GET", "/healthz"));
            connection.flush();
            return connection.receiveResponseHeader().getCode() == 200;
        } catch (IOException | HttpException e) {
            return false;
        }
    }

    /** Waits for the answers of all that was sent; returns whether all came. */
    public boolean awaitOutcomes() throws InterruptedException {
        threads.shutdown();
        return threads.awaitTermination(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
