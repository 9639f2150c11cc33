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

/**
 * A load generator that acts as the consumers of a gatekeeper. It works as an open loop: each request is sent without
 * waiting for the outcome of earlier ones, and the outcome of every request is recorded.
 */
public final class ConsumerStandIn implements AutoCloseable {

    /**
     * The description of a request to send.
     *
     * @param id             the trace id, which the provider repeats in its response body
     * @param requestClass   the request class, which becomes the path of the request
     * @param idempotent     whether to send a GET without a body rather than a POST with one
     * @param customer       the customer id, sent as 16 hex digits
     * @param units          the quota units that the request costs
     * @param deadlineMillis the time until the request expires, in milliseconds
     * @param gatekeepers    the value of {@code spread} in the quota header
     */
    public record ScenarioRequest(
            String id,
            String requestClass,
            boolean idempotent,
            long customer,
            int units,
            long deadlineMillis,
            int gatekeepers) {}

    /**
     * The outcome of a request. Times are nanoseconds of the system's monotonic clock.
     *
     * @param status            the status code of the response, 0 if no connection could be established, or -1 if the
     *                          exchange failed later
     * @param retryAfterSeconds the value of the Retry-After header in seconds, or a negative number without the header
     * @param bodyMatches       whether the response body is the verdict that belongs to this request
     */
    public record RequestOutcome(
            ScenarioRequest request,
            long sentAtNanos,
            long endedAtNanos,
            int status,
            double retryAfterSeconds,
            boolean bodyMatches) {
        /** Returns the duration of the request in milliseconds. */
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

    /** Creates a consumer that sends its requests to the given gatekeeper without a Host header. */
    public ConsumerStandIn(InetSocketAddress gatekeeper) {
        this(gatekeeper, null);
    }

    /** Creates a consumer that sends the given Host header with each request, or none if {@code host} is null. */
    public ConsumerStandIn(InetSocketAddress gatekeeper, String host) {
        this.gatekeeper = gatekeeper;
        this.host = host;
    }

    /** Returns the outcomes of all completed and failed requests, in order of completion. */
    public List<RequestOutcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /** Sends a request asynchronously, over an idle connection if one is available, and returns immediately. */
    public void send(ScenarioRequest scenarioRequest) {
        threads.execute(() -> outcomes.add(exchange(scenarioRequest)));
    }

    /** Sends a request and waits for its outcome, which is not added to {@link #outcomes}. */
    public RequestOutcome sendAndWait(ScenarioRequest scenarioRequest) {
        return exchange(scenarioRequest);
    }

    private RequestOutcome exchange(ScenarioRequest scenarioRequest) {
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
            connection.sendRequestHeader(createRequest(scenarioRequest));
            if (!scenarioRequest.idempotent()) {
                connection.sendRequestEntity(createRequest(scenarioRequest));
            }
            connection.flush();
            ClassicHttpResponse response = connection.receiveResponseHeader();
            connection.receiveResponseEntity(response);
            String body = response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
            RequestOutcome outcome = new RequestOutcome(
                    scenarioRequest,
                    sentAt,
                    System.nanoTime(),
                    response.getCode(),
                    parseRetryAfterSeconds(response.getFirstHeader("Retry-After")),
                    body.equals("verdict " + scenarioRequest.id()));
            Header connectionHeader = response.getFirstHeader("Connection");
            if (connectionHeader != null && connectionHeader.getValue().equals("close")) {
                connection.close();
            } else {
                synchronized (idleConnections) {
                    idleConnections.push(connection);
                }
            }
            return outcome;
        } catch (IOException | HttpException e) {
            return new RequestOutcome(scenarioRequest, sentAt, System.nanoTime(), connected ? -1 : 0, -1, false);
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

    private ClassicHttpRequest createRequest(ScenarioRequest scenarioRequest) {
        ClassicHttpRequest request = new BasicClassicHttpRequest(
                scenarioRequest.idempotent() ? "GET" : "POST", '/' + scenarioRequest.requestClass());
        if (host != null) {
            request.setHeader("Host", host);
        }
        request.setHeader("X-Trace-Id", scenarioRequest.id());
        request.setHeader("X-Plan", "full-plant");
        request.setHeader("X-Customer", String.format(Locale.ROOT, "%016x", scenarioRequest.customer()));
        request.setHeader("X-Expires-In-Ms", scenarioRequest.deadlineMillis());
        request.setHeader(
                "X-Quota",
                "units=" + scenarioRequest.units() + ",spread=" + scenarioRequest.gatekeepers() + ",first=0");
        if (!scenarioRequest.idempotent()) {
            request.setEntity(new ByteArrayEntity(new byte[200], ContentType.APPLICATION_OCTET_STREAM));
            request.setHeader("Content-Length", 200);
        }
        return request;
    }

    private static double parseRetryAfterSeconds(Header header) {
        return header == null ? -1 : Double.parseDouble(header.getValue());
    }

    /** Returns whether the health endpoint of the gatekeeper answers with status 200. */
    public boolean isGatekeeperReady() {
        try (DefaultBHttpClientConnection connection = connect()) {
            connection.sendRequestHeader(new BasicClassicHttpRequest("GET", "/healthz"));
            connection.flush();
            return connection.receiveResponseHeader().getCode() == 200;
        } catch (IOException | HttpException e) {
            return false;
        }
    }

    /**
     * Makes {@link #send} reject further requests and waits for the outcomes of those already sent.
     *
     * @return whether all requests ended within the timeout of 15 seconds
     */
    public boolean awaitOutcomes() throws InterruptedException {
        threads.shutdown();
        return threads.awaitTermination(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
