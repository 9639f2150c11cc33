package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;

/**
 * One call: its request, its response and its result.
 *
 * <p>The result is reported exactly once. For a broken call it contains the stage that the call had reached ({@link
 * CallStage}), which determines whether the call may be retried: a request that was not sent completely cannot have
 * run. A long or slow response is streamed: it is reported to the streaming listener before it is complete.
 */
final class UpstreamExchange implements AsyncClientExchangeHandler {
    private static final int STATUS_OK = 200;
    /**
     * Size above which a response of unknown length is streamed, if receiving it takes longer than {@link
     * #STREAMING_THRESHOLD_MICROS}.
     */
    private static final int STREAMING_THRESHOLD_BYTES = 4 * 1024;

    private static final long STREAMING_THRESHOLD_MICROS = TimeUnit.MILLISECONDS.toMicros(20);
    /** Time after which a call is aborted if the provider neither reads nor writes a byte of a streamed body. */
    private static final long STALL_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(15);

    private static final double MICROS_PER_SECOND = 1e6;
    /** Maximum time that is accepted from the headers of another region; longer times are reduced to it. */
    private static final double MAX_REPORTED_MICROS = 3.6e9;

    private final UpstreamConnectionPool pool;
    private final UpstreamConnection.UpstreamEndpoint endpoint;
    private final UpstreamRequest request;
    private final Runnable writtenListener;
    private final Consumer<CallResult> completionListener;
    private final Consumer<CallResult.ResponseReceived> streamingListener;
    private final AtomicBoolean writtenReported = new AtomicBoolean();
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile boolean aborted;
    private volatile Future<?> connectFuture;
    /** The connection that the call uses, or null; guarded by the pool's monitor. */
    volatile UpstreamConnection connection;

    private volatile EndpointDetails connectionDetails;
    private long bytesSentBefore;
    private long requestLength;
    private BufferedBody.OutboundBody requestBody;
    private HttpRequest requestHead;
    private HttpResponse response;
    private long responseHeadAt;
    /** Whether the response does not declare its length. */
    private boolean responseLengthUnknown;

    private BufferedBody.InboundBody responseBody;
    /** Stream of the response body, or null if the body is buffered. */
    private volatile BodyStream responseStream;

    private volatile boolean requestStreamed;
    private long grantedBytes = HttpTransport.INITIAL_WINDOW_BYTES;
    /** Number of bytes that both streams had moved at the last check for stalls; negative before the first check. */
    private long lastBytesMoved = -1;

    private long lastProgressAt;
    private CallResult pendingResult;

    UpstreamExchange(
            UpstreamConnectionPool pool,
            UpstreamConnection.UpstreamEndpoint endpoint,
            UpstreamRequest request,
            Runnable writtenListener,
            Consumer<CallResult.ResponseReceived> streamingListener,
            Consumer<CallResult> completionListener) {
        this.streamingListener = streamingListener;
        this.pool = pool;
        this.writtenListener = writtenListener;
        this.endpoint = endpoint;
        this.request = request;
        this.completionListener = completionListener;
    }

    void setConnectFuture(Future<?> future) {
        connectFuture = future;
    }

    UpstreamConnection.UpstreamEndpoint endpoint() {
        return endpoint;
    }

    boolean isAborted() {
        return aborted;
    }

    /**
     * Aborts the call. Its result is reported when the connection has been closed, since its stage is not certain
     * before.
     */
    void abort() {
        aborted = true;
        pool.abort(this);
    }

    /** Aborts the call unless its request has been written completely. */
    void abortUnlessSent() {
        if (!isFullySent()) {
            abort();
        }
    }

    void abortConnect() {
        Future<?> future = connectFuture;
        if (connection == null && future != null) {
            future.cancel(true);
        }
    }

    void finish(CallResult result) {
        if (finished.compareAndSet(false, true)) {
            pool.removeStreaming(this);
            reportIfWritten();
            completionListener.accept(result);
        }
    }

    // ---- The request -------------------------------------------------------------------------------
    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        connection.onRequestStarted();
        requestHead = request.toHttpRequest();
        requestLength = request.lengthOnWire(requestHead);
        EndpointDetails details = HttpCoreContext.cast(context).getEndpointDetails();
        bytesSentBefore = details.getSentBytesCount();
        connectionDetails = details;
        int bodyLength = request.body().length;
        if (request.stream() != null) {
            request.stream().onFailure(this::abort); // a provider does not run an incomplete request
            channel.sendRequest(
                    requestHead, new BasicEntityDetails(request.stream().length(), null), context);
            return;
        }
        requestBody = new BufferedBody.OutboundBody(request.body());
        channel.sendRequest(requestHead, bodyLength == 0 ? null : new BasicEntityDetails(bodyLength, null), context);
    }

    @Override
    public int available() {
        return request.stream() != null
                ? request.stream().available()
                : requestBody == null ? 0 : requestBody.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (request.stream() == null) {
            requestBody.writeTo(channel);
        } else if (request.stream().writeTo(channel)) {
            requestStreamed = true;
        }
    }

    // ---- The response ------------------------------------------------------------------------------
    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) {}

    @Override
    public void consumeResponse(HttpResponse received, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        response = received;
        responseHeadAt = pool.now();
        if (entity == null) {
            onResponseComplete(BufferedBody.EMPTY);
        } else if (entity.getContentLength()
                > (mayStream() ? HttpTransport.MAX_STREAMED_BODY_BYTES : HttpTransport.MAX_BUFFERED_BODY_BYTES)) {
            throw new IOException("the response is too long");
        } else {
            responseBody = new BufferedBody.InboundBody(entity);
            responseLengthUnknown = entity.getContentLength() < 0;
            if (entity.getContentLength() > HttpTransport.MAX_BUFFERED_BODY_BYTES) {
                startStreaming(entity.getContentLength(), HttpTransport.INITIAL_WINDOW_BYTES);
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        if (responseStream != null) {
            responseStream.attachSource(capacity);
        } else {
            grantedBytes += HttpTransport.MAX_BUFFERED_BODY_BYTES;
            capacity.update(HttpTransport.MAX_BUFFERED_BODY_BYTES);
        }
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        if (responseStream != null) {
            if (!responseStream.receive(source)) {
                throw new IOException("the response is too long");
            }
            return;
        }
        ByteBuffer unreadView = source.duplicate();
        responseBody.append(source);
        if (mayStream()
                && (responseBody.isTooLong()
                        || responseLengthUnknown
                                && responseBody.size() > STREAMING_THRESHOLD_BYTES
                                && pool.now() - responseHeadAt > STREAMING_THRESHOLD_MICROS)) {
            boolean buffered = !responseBody.isTooLong();
            startStreaming(-1, grantedBytes);
            if (!buffered) {
                responseStream.receive(unreadView);
            }
        } else if (responseBody.isTooLong()) {
            throw new IOException("the response is too long");
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (responseStream != null) {
            responseStream.complete();
            onResponseComplete(BufferedBody.EMPTY);
        } else {
            onResponseComplete(responseBody.bytes());
        }
    }

    /** Whether the response may be streamed. */
    private boolean mayStream() {
        return streamingListener != null && response.getCode() == STATUS_OK;
    }

    /** Switches the response to streaming; {@code length} is -1 if it is unknown. */
    private void startStreaming(long length, long alreadyGrantedBytes) {
        responseStream = new BodyStream(length, HttpTransport.MAX_STREAMED_BODY_BYTES, alreadyGrantedBytes);
        responseStream.receive(ByteBuffer.wrap(responseBody.bytes()));
        pool.addStreaming(this);
        Header contentType = response.getFirstHeader("Content-Type");
        streamingListener.accept(new CallResult.ResponseReceived(
                STATUS_OK,
                false,
                contentType == null ? null : contentType.getValue(),
                BufferedBody.EMPTY,
                -1,
                -1,
                responseStream,
                0));
    }

    /** Aborts the call if the provider makes no progress although the gateway is waiting for it to read or write. */
    void abortIfStalled(long now) {
        BodyStream requestBodyStream = request.stream();
        BodyStream responseBodyStream = responseStream;
        long bytesMoved = (requestBodyStream == null ? 0 : requestBodyStream.bytesMoved())
                + (responseBodyStream == null ? 0 : responseBodyStream.bytesMoved());
        boolean awaitsProvider = responseBodyStream == null
                ? requestBodyStream != null && !requestStreamed && requestBodyStream.awaitsSink()
                : responseBodyStream.awaitsSource();
        if (bytesMoved != lastBytesMoved || !awaitsProvider) {
            lastBytesMoved = bytesMoved;
            lastProgressAt = now;
        } else if (now - lastProgressAt > STALL_TIMEOUT_MICROS) {
            abort();
        }
    }

    private void onResponseComplete(byte[] body) {
        Header neverRan = response.getFirstHeader(RegionFrontend.NEVER_RAN_HEADER);
        Header contentType = response.getFirstHeader("Content-Type");
        boolean fromRegion = request.hop() != null;
        pendingResult = new CallResult.ResponseReceived(
                response.getCode(),
                neverRan != null && "1".equals(neverRan.getValue()),
                contentType == null ? null : contentType.getValue(),
                body,
                fromRegion ? numericHeader(RegionFrontend.REGION_TOOK_HEADER, 1) : -1,
                fromRegion ? numericHeader("Retry-After", MICROS_PER_SECOND) : -1,
                null,
                Math.max(0, pool.now() - responseHeadAt));
        connection.onResponseComplete();
    }

    /**
     * Reports the result if the response is complete. The connection calls this after it has read all input: only then
     * is it known whether anything followed the response, in which case the connection must not be reused.
     */
    void finishIfResponseComplete(boolean connectionOpen) {
        CallResult result = pendingResult;
        if (result != null) {
            pendingResult = null;
            pool.release(connection, connectionOpen && !aborted && isFullySent());
            finish(result);
        }
    }

    /** Returns a numeric header converted to microseconds, or -1 if it is missing or invalid. */
    private long numericHeader(String name, double microsPerUnit) {
        Header header = response.getFirstHeader(name);
        double value = header == null || header.getValue() == null ? 0 : RequestHeaders.parseDecimal(header.getValue());
        return header == null || value < 0 ? -1 : (long) Math.min(value * microsPerUnit, MAX_REPORTED_MICROS);
    }

    /** Reports, once, that the request has been written completely; called whenever bytes may have been written. */
    void reportIfWritten() {
        if (!writtenReported.get() && isFullySent() && writtenReported.compareAndSet(false, true)) {
            writtenListener.run();
        }
    }

    private boolean isFullySent() {
        EndpointDetails details = connectionDetails;
        boolean bodyWritten = request.stream() == null || requestStreamed;
        return bodyWritten && details != null && details.getSentBytesCount() - bytesSentBefore >= requestLength;
    }

    // ---- Failures ----------------------------------------------------------------------------------
    @Override
    public void failed(Exception cause) {
        BodyStream stream = responseStream;
        if (stream != null) {
            stream.fail();
        }
        CallStage stage = response != null
                ? CallStage.RECEIVING_RESPONSE
                : isFullySent() ? CallStage.AWAITING_RESPONSE : CallStage.WRITING;
        finish(new CallResult.ConnectionBroken(stage, String.valueOf(cause.getMessage())));
    }

    @Override
    public void cancel() {
        finish(new CallResult.ConnectionBroken(CallStage.WRITING, "the connection closed before the call was written"));
    }

    @Override
    public void releaseResources() {
        responseBody = null;
    }
}
