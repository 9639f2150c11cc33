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
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/** One request of a consumer and its one answer. */
public final class ConsumerExchange implements AsyncServerExchangeHandler, Invocation.AnswerSink {
    private static final String BODY_TOO_LONG = "the body is too long";

    private final ConsumerServer server;
    private final ConsumerServer.ConsumerConnection connection;
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
    /** A long body that comes in, and a long answer that goes out; or null. */
    private volatile BodyStream requestStream;

    private volatile BodyStream responseStream;
    private volatile boolean streamEnded;
    private long grantedBytes = HttpTransport.INITIAL_WINDOW_BYTES;
    /** From when on, and from which byte, a slow body is judged. */
    private long rateMeasuredSince;

    private long rateMeasuredFromBytes;
    private long receivedAt;

    /** {@code onlyExchange}: no request is open before it on its connection. */
    ConsumerExchange(ConsumerServer server, ConsumerServer.ConsumerConnection link, boolean alone) {
        this.server = server;
        this.connection = link;
        this.onlyExchange = alone;
    }

    boolean isAnswered() {
        return answered.get();
    }

    /** Whether its request's body is still coming in. */
    boolean isReadingBody() {
        return readingBody && !isAnswered();
    }

    /** Whether it has been passed on, whole or not. */
    boolean isForwarded() {
        return invocation != null;
    }

    /** Whether its body comes in too slowly; in {@code headLimit} microseconds a head must be whole. */
    boolean isBodyTooSlow(long now, long begunAt, long headLimit) {
        BodyStream flow = requestStream;
        if (!isReadingBody()) {
            return false;
        } else if (flow == null) {
            return MinimumRateGuard.isTooSlow(
                    now - begunAt, headLimit, bufferedRequest == null ? 0 : bufferedRequest.size());
        } else if (!flow.awaitsSource()) { // it waits for us
            rateMeasuredSince = now;
            rateMeasuredFromBytes = flow.bytesReceived();
            return false;
        }
        return MinimumRateGuard.isTooSlow(
                now - (rateMeasuredSince == 0 ? begunAt : rateMeasuredSince),
                headLimit,
                flow.bytesReceived() - rateMeasuredFromBytes);
    }

    /** Whether something of its answer waits for the consumer to read on. */
    boolean awaitsConsumer() {
        BodyStream flow = responseStream;
        return isAnswered() && (flow == null || streamEnded || flow.awaitsSink());
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
            rejectAndClose(400, "one request at a time on a connection");
        } else if (entity == null) {
            dispatch(RequestBody.buffered(BufferedBody.EMPTY));
        } else if (entity.getContentLength() > server.frontend().maxBodyBytes()) {
            rejectAndClose(413, BODY_TOO_LONG); // told at once: to read 60 MB first would only cost
        } else {
            bufferedRequest = new BufferedBody.InboundBody(entity);
            readingBody = true;
            if (request.containsHeader("Expect")) { // some consumers hold the body back until told to go on
                channel.sendInformation(new BasicHttpResponse(100), context);
            }
            if (entity.getContentLength() > HttpTransport.MAX_BUFFERED_BODY_BYTES) {
                startStreaming(entity.getContentLength());
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        BodyStream flow = requestStream;
        if (isAnswered()) {
            channel.update(Integer.MAX_VALUE); // thrown away
        } else if (flow != null) {
            flow.attachSource(channel);
        } else {
            grantedBytes += HttpTransport.MAX_BUFFERED_BODY_BYTES;
            channel.update(HttpTransport.MAX_BUFFERED_BODY_BYTES);
        }
    }

    /** Its body is read on as it comes, and goes on the same way. */
    private void startStreaming(long length) throws HttpException, IOException {
        BodyStream flow = new BodyStream(length, server.frontend().maxBodyBytes(), grantedBytes);
        flow.receive(ByteBuffer.wrap(bufferedRequest.bytes()));
        requestStream = flow;
        bufferedRequest = null;
        dispatch(new RequestBody(BufferedBody.EMPTY, flow));
        if (isAnswered()) {
            flow.discardRest();
        }
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        BodyStream flow = requestStream;
        if (isAnswered()) {
            source.position(source.limit());
            connection.onResponseProgress(); // what is thrown away is a sign of life too
        } else if (flow != null) {
            if (!flow.receive(source)) {
                tryRejectAndClose(413, BODY_TOO_LONG);
            }
        } else {
            ByteBuffer same = source.duplicate();
            bufferedRequest.append(source);
            if (bufferedRequest.isTooLong()
                    && server.frontend().maxBodyBytes() <= HttpTransport.MAX_BUFFERED_BODY_BYTES) {
                tryRejectAndClose(413, BODY_TOO_LONG);
            } else if (bufferedRequest.isTooLong()) {
                try {
                    startStreaming(-1);
                } catch (HttpException e) {
                    throw new IOException(e);
                }
                requestStream.receive(same);
            }
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        BodyStream flow = requestStream;
        if (flow != null) {
            readingBody = false;
            connection.onRequestReceived();
            flow.complete();
            if (invocation != null && !isAnswered()) {
                eventSink.accept(
                        new ReducerEvent.RequestBodyCompleted(invocation, ServiceFrontend.timeoutMicros(request)));
            }
        } else if (!isAnswered()) {
            dispatch(RequestBody.buffered(bufferedRequest.bytes()));
        }
    }

    /** The body cannot be read on; returns whether that could be told. */
    boolean rejectUnreadable(String problem) {
        return !isAnswered() && tryRejectAndClose(400, problem);
    }

    /** The request did not come in whole in time; returns whether that could be told. */
    boolean rejectTimedOut() {
        return !isAnswered() && tryRejectAndClose(408, "the request did not come in whole in time");
    }

    private boolean tryRejectAndClose(int status, String why) {
        try {
            rejectAndClose(status, why);
            return true;
        } catch (HttpException | IOException e) {
            connection.abort();
            return false;
        }
    }

    /** An answer after which the connection is closed, as what comes behind it makes no sense. */
    private void rejectAndClose(int status, String why) throws HttpException, IOException {
        connection.stopReading();
        sendResponse(RequestFrontend.GatewayResponse.text(status, why));
        if (invocation != null) { // what was passed on of it will never be whole
            eventSink.accept(new ReducerEvent.ConsumerDisconnected(invocation));
            requestStream.fail();
        }
    }

    private void dispatch(RequestBody content) throws HttpException, IOException {
        if (content.stream() == null) {
            readingBody = false;
            connection.onRequestReceived();
        }
        long takenAt = server.frontend().now();
        if (!RequestTarget.toOriginForm(request)) {
            rejectAndClose(400, "the target is not of this host");
            return;
        }
        if (request.getPath().equals("/healthz")) {
            boolean ready = server.isReady();
            sendResponse(RequestFrontend.GatewayResponse.text(ready ? 200 : 503, ready ? "ready" : "not ready"));
            return;
        }
        receivedAt =
                server.frontend().reportsProcessingTime() ? server.frontend().now() : 0;
        RequestFrontend.ParsedRequest read = server.frontend().parse(request, content, takenAt, this);
        connection.intakeLimiter = read.intakeLimiter();
        classMetrics = read.classMetrics();
        if (read.invocation() == null) {
            if (read.closesConnection()) {
                connection.stopReading();
            }
            sendResponse(read.rejection());
        } else {
            eventSink = read.eventSink();
            invocation = read.invocation();
            if (classMetrics != null) {
                classMetrics.onStarted();
            }
            eventSink.accept(read.event());
        }
    }

    // ---- The answer --------------------------------------------------------------------------------
    @Override
    public void send(FinalAnswer answer) {
        try {
            sendResponse(server.frontend().toResponse(answer));
        } catch (HttpException | IOException | RuntimeException e) {
            // The consumer's connection broke just now, and nobody is left to be told. Anything thrown on
            // from here would come out in the middle of a decision.
            connection.abort();
        }
    }

    private void sendResponse(RequestFrontend.GatewayResponse told) throws HttpException, IOException {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        BodyStream flow = told.bodyStream();
        if (flow == null) {
            recordOutcome(told.status());
        }
        BodyStream unread = requestStream;
        if (unread != null && !connection.hasStoppedReading()) {
            unread.discardRest(); // the rest is read and thrown away
        }
        byte[] bytes = told.body();
        HttpResponse response = new BasicHttpResponse(told.status());
        if (told.contentType() != null) {
            response.addHeader("Content-Type", told.contentType());
        }
        boolean old = request.getVersion() != null && request.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        if (flow == null || flow.length() >= 0) {
            response.addHeader("Content-Length", Long.toString(flow == null ? bytes.length : flow.length()));
        } else if (!old) {
            response.addHeader("Transfer-Encoding", "chunked");
        }
        if (told.retryAfterMicros() >= 0) {
            response.addHeader("Retry-After", formatSeconds(told.retryAfterMicros()));
        }
        if (told.neverRan()) {
            response.addHeader(RegionFrontend.NEVER_RAN_HEADER, "1");
        }
        if (receivedAt > 0) {
            response.addHeader(
                    RegionFrontend.REGION_TOOK_HEADER,
                    Long.toString(server.frontend().now() - receivedAt));
        }
        if (told.status() == 405) {
            response.addHeader("Allow", request.getMethod().equals("GET") ? "POST" : "GET");
        }
        if (server.closesAfterResponse() || connection.hasStoppedReading()) {
            response.addHeader("Connection", "close");
        }
        connection.onResponseProgress();
        if (flow != null) {
            responseStream = flow;
            flow.onFailure(this::onResponseStreamFailed);
            channel.sendResponse(response, new BasicEntityDetails(flow.length(), null), context);
            return;
        }
        bufferedResponse = new BufferedBody.OutboundBody(bytes);
        channel.sendResponse(response, bytes.length == 0 ? null : new BasicEntityDetails(bytes.length, null), context);
    }

    private void recordOutcome(int status) {
        if (classMetrics != null) {
            classMetrics.onAnswered(status);
            if (invocation != null) {
                classMetrics.onEnded();
            }
        }
    }

    /** The rest of the answer will never come: the consumer can tell by the end of its connection. */
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

    /** Seconds with three decimals, rounded up: to come back a little early would be to come in vain. */
    static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        String decimals = Long.toString(1000 + millis % 1000);
        return millis / 1000 + "." + decimals.substring(1);
    }

    @Override
    public int available() {
        BodyStream flow = responseStream;
        return flow != null ? flow.available() : bufferedResponse == null ? 0 : bufferedResponse.available();
    }

    @Override
    public void produce(DataStreamChannel stream) throws IOException {
        BodyStream flow = responseStream;
        if (flow == null) {
            bufferedResponse.writeTo(stream);
            connection.onResponseProgress();
            return;
        }
        long before = flow.bytesMoved();
        if (flow.writeTo(stream) && !streamEnded) {
            streamEnded = true;
            recordOutcome(200);
        }
        if (flow.bytesMoved() != before) {
            connection.onResponseProgress();
        }
    }

    // ---- The end -----------------------------------------------------------------------------------
    /** The connection has ended; without an answer that means the consumer went away. */
    void onConsumerDisconnected() {
        BodyStream going = responseStream;
        if (going != null && !streamEnded) {
            streamEnded = true;
            going.discardRest();
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
        BodyStream flow = requestStream;
        if (flow != null) {
            flow.fail();
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
