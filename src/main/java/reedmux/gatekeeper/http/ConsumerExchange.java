package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.http.RequestFrontend.GatewayResponse;
import reedmux.gatekeeper.http.RequestFrontend.ParsedRequest;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * A consumer's request and its response. The request body is buffered up to {@link
 * HttpTransport#MAX_BUFFERED_BODY_BYTES}; a longer body is streamed, and the request is parsed as soon as the body is
 * known to be longer. At most one response is sent, whatever events occur concurrently.
 *
 * <p>The library calls this class on the I/O thread; the answer to an invocation arrives on the event loop.
 */
public final class ConsumerExchange implements AsyncServerExchangeHandler, Invocation.AnswerSink {
    private static final String BODY_TOO_LONG = "the body is too long";
    private static final int STATUS_CONTINUE = 100;
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long NOT_REPORTED = -1;

    private final ConsumerServer server;
    private final ConsumerConnection connection;
    private final boolean onlyExchange;
    private final AtomicBoolean answered = new AtomicBoolean();
    private HttpRequest request;
    private ResponseChannel channel;
    private HttpContext context;
    private BufferedBody.InboundBody bufferedRequest;
    private volatile boolean readingBody;
    private volatile Consumer<ReducerEvent> eventSink;
    private volatile Invocation invocation;
    private volatile Metrics.ClassMetrics classMetrics;
    private volatile BufferedBody.OutboundBody bufferedResponse;
    /** Stream of the request body, or null if the body is buffered. */
    private volatile BodyStream requestStream;
    /** Stream of the response body, or null if the body is buffered. */
    private volatile BodyStream responseStream;
    /** Whether the streamed response has been written completely, has failed or has been abandoned. */
    private volatile boolean streamEnded;
    /** Number of body bytes that the library has been allowed to read so far. */
    private long grantedBytes = HttpTransport.INITIAL_WINDOW_BYTES;
    /** Start of the period in which the rate of the body is measured; 0 for the start of the request. */
    private long rateMeasuredSince;
    /** Number of body bytes that had been received at the start of this period. */
    private long rateMeasuredFromBytes;
    /** When the request was received, if the response reports its processing time; otherwise 0. */
    private long receivedAt;

    /** Creates an exchange; {@code onlyExchange} is false if another exchange is still open on the connection. */
    ConsumerExchange(ConsumerServer server, ConsumerConnection connection, boolean onlyExchange) {
        this.server = server;
        this.connection = connection;
        this.onlyExchange = onlyExchange;
    }

    boolean isAnswered() {
        return answered.get();
    }

    /** Whether the request body is still being received. */
    boolean isReadingBody() {
        return readingBody && !isAnswered();
    }

    /** Whether the request has become an invocation, even if its body is not complete yet. */
    boolean isForwarded() {
        return invocation != null;
    }

    /**
     * Whether the body is received too slowly. Periods in which the gateway grants the consumer no capacity are not
     * counted.
     *
     * @param startedAt         when the request started
     * @param headTimeoutMicros time limit for the request head
     */
    boolean isBodyTooSlow(long now, long startedAt, long headTimeoutMicros) {
        BodyStream stream = requestStream;
        if (!isReadingBody()) {
            return false;
        } else if (stream == null) {
            return MinimumRateGuard.isTooSlow(
                    now - startedAt, headTimeoutMicros, bufferedRequest == null ? 0 : bufferedRequest.size());
        } else if (!stream.awaitsSource()) {
            rateMeasuredSince = now;
            rateMeasuredFromBytes = stream.bytesReceived();
            return false;
        }
        return MinimumRateGuard.isTooSlow(
                now - (rateMeasuredSince == 0 ? startedAt : rateMeasuredSince),
                headTimeoutMicros,
                stream.bytesReceived() - rateMeasuredFromBytes);
    }

    /** Whether the consumer is still waiting for its response, or for the rest of a streamed one. */
    boolean isAwaited() {
        return !isAnswered() || responseStream != null && !streamEnded;
    }

    /** Whether the response is waiting for the consumer to read it. */
    boolean awaitsConsumer() {
        BodyStream stream = responseStream;
        return isAnswered() && (stream == null || streamEnded || stream.awaitsSink());
    }

    // ---- The request -------------------------------------------------------------------------------
    @Override
    public void handleRequest(HttpRequest request, EntityDetails entity, ResponseChannel channel, HttpContext context)
            throws HttpException, IOException {
        this.request = request;
        this.channel = channel;
        this.context = context;
        if (connection.headError() != null) {
            rejectAndClose(connection.headErrorStatus(), connection.headError());
        } else if (!onlyExchange) {
            rejectAndClose(STATUS_BAD_REQUEST, "one request at a time on a connection");
        } else if (entity == null) {
            dispatch(RequestBody.buffered(BufferedBody.EMPTY));
        } else if (entity.getContentLength() > server.frontend().maxBodyBytes()) {
            rejectAndClose(STATUS_CONTENT_TOO_LARGE, BODY_TOO_LONG); // rejected before the body is read
        } else {
            bufferedRequest = new BufferedBody.InboundBody(entity);
            readingBody = true;
            if (request.containsHeader("Expect")) { // the consumer may wait for this before it sends the body
                channel.sendInformation(new BasicHttpResponse(STATUS_CONTINUE), context);
            }
            if (entity.getContentLength() > HttpTransport.MAX_BUFFERED_BODY_BYTES) {
                startStreaming(entity.getContentLength());
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        BodyStream stream = requestStream;
        if (isAnswered()) {
            channel.update(Integer.MAX_VALUE); // the rest is discarded
        } else if (stream != null) {
            stream.attachSource(channel);
        } else {
            grantedBytes += HttpTransport.MAX_BUFFERED_BODY_BYTES;
            channel.update(HttpTransport.MAX_BUFFERED_BODY_BYTES);
        }
    }

    /** Switches the body to streaming, and dispatches the request before the body is complete. */
    private void startStreaming(long length) throws HttpException, IOException {
        BodyStream stream = new BodyStream(length, server.frontend().maxBodyBytes(), grantedBytes);
        stream.receive(ByteBuffer.wrap(bufferedRequest.bytes()));
        requestStream = stream;
        bufferedRequest = null;
        dispatch(new RequestBody(BufferedBody.EMPTY, stream));
        if (isAnswered()) {
            stream.discardRest();
        }
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        BodyStream stream = requestStream;
        if (isAnswered()) {
            source.position(source.limit());
            connection.onResponseProgress(); // discarded input also shows that the consumer is alive
        } else if (stream != null) {
            if (!stream.receive(source)) {
                tryRejectAndClose(STATUS_CONTENT_TOO_LARGE, BODY_TOO_LONG);
            }
        } else {
            ByteBuffer unreadView = source.duplicate();
            bufferedRequest.append(source);
            if (bufferedRequest.isTooLong()
                    && server.frontend().maxBodyBytes() <= HttpTransport.MAX_BUFFERED_BODY_BYTES) {
                tryRejectAndClose(STATUS_CONTENT_TOO_LARGE, BODY_TOO_LONG);
            } else if (bufferedRequest.isTooLong()) {
                try {
                    startStreaming(-1);
                } catch (HttpException e) {
                    throw new IOException(e);
                }
                requestStream.receive(unreadView);
            }
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        BodyStream stream = requestStream;
        if (stream != null) {
            readingBody = false;
            connection.onRequestReceived();
            stream.complete();
            if (invocation != null && !isAnswered()) {
                eventSink.accept(
                        new ReducerEvent.RequestBodyCompleted(invocation, ServiceFrontend.timeoutMicros(request)));
            }
        } else if (!isAnswered()) {
            dispatch(RequestBody.buffered(bufferedRequest.bytes()));
        }
    }

    /** Rejects a request whose body is malformed; returns whether a response could be sent. */
    boolean rejectMalformedBody(String problem) {
        return !isAnswered() && tryRejectAndClose(STATUS_BAD_REQUEST, problem);
    }

    /** Rejects a request that was not complete in time; returns whether a response could be sent. */
    boolean rejectTimedOut() {
        return !isAnswered() && tryRejectAndClose(STATUS_REQUEST_TIMEOUT, "the request did not come in whole in time");
    }

    private boolean tryRejectAndClose(int status, String problem) {
        try {
            rejectAndClose(status, problem);
            return true;
        } catch (HttpException | IOException e) {
            connection.abort();
            return false;
        }
    }

    /**
     * Sends a response after which the connection is closed, since the following input cannot be parsed as a request.
     */
    private void rejectAndClose(int status, String problem) throws HttpException, IOException {
        connection.stopReading();
        sendResponse(GatewayResponse.text(status, problem));
        if (invocation != null) { // the body will never be complete
            eventSink.accept(new ReducerEvent.ConsumerDisconnected(invocation));
            requestStream.fail();
        }
    }

    /** Responds to a health check, or has the frontend parse the request into an invocation or a rejection. */
    private void dispatch(RequestBody body) throws HttpException, IOException {
        if (body.stream() == null) {
            readingBody = false;
            connection.onRequestReceived();
        }
        long parsedAt = server.frontend().now();
        if (!RequestTarget.toOriginForm(request)) {
            rejectAndClose(STATUS_BAD_REQUEST, "the target is not of this host");
            return;
        }
        if (request.getPath().equals("/healthz")) {
            boolean ready = server.isReady();
            sendResponse(GatewayResponse.text(ready ? STATUS_OK : STATUS_UNAVAILABLE, ready ? "ready" : "not ready"));
            return;
        }
        receivedAt =
                server.frontend().reportsProcessingTime() ? server.frontend().now() : 0;
        ParsedRequest parsed = server.frontend().parse(request, body, parsedAt, this);
        connection.limitNextRequest(parsed.intakeLimiter());
        classMetrics = parsed.classMetrics();
        if (parsed.invocation() == null) {
            if (parsed.closesConnection()) {
                connection.stopReading();
            }
            sendResponse(parsed.rejection());
        } else {
            eventSink = parsed.eventSink();
            invocation = parsed.invocation();
            if (classMetrics != null) {
                classMetrics.onStarted();
            }
            eventSink.accept(parsed.event());
        }
    }

    // ---- The response ------------------------------------------------------------------------------
    @Override
    public void send(FinalAnswer answer) {
        try {
            sendResponse(server.frontend().toResponse(answer));
        } catch (HttpException | IOException | RuntimeException e) {
            // The consumer's connection has just failed, so the response cannot be delivered. An exception thrown from
            // here would interrupt the reducer in the middle of a decision.
            connection.abort();
        }
    }

    private void sendResponse(GatewayResponse response) throws HttpException, IOException {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        BodyStream stream = response.bodyStream();
        if (stream == null) {
            recordOutcome(response.status());
        }
        BodyStream unreadRequest = requestStream;
        if (unreadRequest != null && !connection.hasStoppedReading()) {
            unreadRequest.discardRest();
        }
        boolean closesConnection = server.lifeCycle().closesAfterResponse() || connection.hasStoppedReading();
        long processingMicros = receivedAt > 0 ? server.frontend().now() - receivedAt : NOT_REPORTED;
        HttpResponse head = ResponseHead.of(response, request, processingMicros, closesConnection);
        connection.onResponseProgress();
        if (stream != null) {
            responseStream = stream;
            stream.onFailure(this::onResponseStreamFailed);
            channel.sendResponse(head, new BasicEntityDetails(stream.length(), null), context);
            return;
        }
        bufferedResponse = new BufferedBody.OutboundBody(response.body());
        int length = response.body().length;
        channel.sendResponse(head, length == 0 ? null : new BasicEntityDetails(length, null), context);
    }

    private void recordOutcome(int status) {
        if (classMetrics != null) {
            classMetrics.onAnswered(status);
            if (invocation != null) {
                classMetrics.onEnded();
            }
        }
    }

    /**
     * Handles the failure of a streamed response whose rest will never arrive; aborting the connection shows the
     * consumer that the response is truncated.
     */
    private void onResponseStreamFailed() {
        if (!streamEnded) {
            streamEnded = true;
            if (classMetrics != null) {
                classMetrics.onResponseTruncated();
                classMetrics.onEnded();
            }
        }
        connection.abort();
    }

    @Override
    public int available() {
        BodyStream stream = responseStream;
        return stream != null ? stream.available() : bufferedResponse == null ? 0 : bufferedResponse.available();
    }

    @Override
    public void produce(DataStreamChannel sink) throws IOException {
        BodyStream stream = responseStream;
        if (stream == null) {
            bufferedResponse.writeTo(sink);
            connection.onResponseProgress();
            return;
        }
        long before = stream.bytesMoved();
        if (stream.writeTo(sink) && !streamEnded) {
            streamEnded = true;
            recordOutcome(STATUS_OK);
        }
        if (stream.bytesMoved() != before) {
            connection.onResponseProgress();
        }
    }

    // ---- The end -----------------------------------------------------------------------------------
    /**
     * Called when the connection has been closed. If the response is incomplete, the consumer no longer waits for it.
     */
    void onConsumerDisconnected() {
        BodyStream unfinished = responseStream;
        if (unfinished != null && !streamEnded) {
            streamEnded = true;
            unfinished.discardRest();
            if (classMetrics != null) {
                classMetrics.onEnded();
            }
            eventSink.accept(new ReducerEvent.ConsumerDisconnected(invocation));
        }
        if (invocation != null && answered.compareAndSet(false, true)) {
            if (classMetrics != null) {
                classMetrics.onEnded();
            }
            eventSink.accept(new ReducerEvent.ConsumerDisconnected(invocation));
        }
        BodyStream stream = requestStream;
        if (stream != null) {
            stream.fail();
        }
    }

    @Override
    public void failed(Exception cause) {
        onConsumerDisconnected();
    }

    @Override
    public void releaseResources() {
        bufferedRequest = null;
    }
}
