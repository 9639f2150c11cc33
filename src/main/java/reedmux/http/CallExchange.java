package reedmux.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Future;
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
import reedmux.core.CallResult;
import reedmux.core.CallResult.Stage;

/** One request of ours and what came of it. */
final class CallExchange implements AsyncClientExchangeHandler {
    private static final double SECOND = 1e6;
    /** Of times that another region tells, in microseconds. */
    private static final double LONGEST = 3.6e9;
    private final Calls calls;
    private final Connection.Origin origin;
    private final OutgoingRequest request;
    private final Runnable written;
    private final Consumer<CallResult> done;
    private final AtomicBoolean counted = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean stopped;
    private volatile Future<?> connecting;
    /** The connection that carries it; set by the pool. */
    volatile Connection connection;
    private volatile EndpointDetails endpoint;
    private long sentBefore;
    private long length;
    private Body.Out out;
    private HttpRequest head;
    private HttpResponse response;
    private Body.In body;
    private CallResult result;

    CallExchange(Calls calls, Connection.Origin origin, OutgoingRequest request, Runnable written,
                 Consumer<CallResult> done) {
        this.calls = calls;
        this.written = written;
        this.origin = origin;
        this.request = request;
        this.done = done;
    }

    void connecting(Future<?> future) {
        connecting = future;
    }

    Connection.Origin origin() {
        return origin;
    }

    boolean stopped() {
        return stopped;
    }

    /**
     * Gives the call up. Only once the connection is closed is it certain how far the call had come, so its
     * end is told from there, not from here.
     */
    void stop() {
        stopped = true;
        calls.giveUp(this);
    }

    void stopConnecting() {
        Future<?> future = connecting;
        if (connection == null && future != null) {
            future.cancel(true);
        }
    }

    void end(CallResult result) {
        if (ended.compareAndSet(false, true)) {
            countWritten();
            done.accept(result);
        }
    }

    // ---- The request -------------------------------------------------------------------------------
    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        connection.asked();
        head = request.head();
        length = request.length(head);
        EndpointDetails details = HttpCoreContext.cast(context).getEndpointDetails();
        sentBefore = details.getSentBytesCount();
        endpoint = details;
        int bytes = request.body().length;
        out = new Body.Out(request.body());
        channel.sendRequest(head, bytes == 0 ? null : new BasicEntityDetails(bytes, null), context);
    }

    @Override
    public int available() {
        return out == null ? 0 : out.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        out.write(channel);
    }

    // ---- The response ------------------------------------------------------------------------------
    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) { }

    @Override
    public void consumeResponse(HttpResponse received, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        response = received;
        if (entity == null) {
            answered(Body.NONE);
        } else if (entity.getContentLength() > Transport.MOST_BODY) {
            throw new IOException("the answer is over 64 KiB"); // it may go on for 3 GB
        } else {
            body = new Body.In(entity);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        body.take(source);
        if (body.tooLong()) {
            throw new IOException("the answer is over 64 KiB");
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        answered(body.bytes());
    }

    private void answered(byte[] bytes) {
        Header neverRan = response.getFirstHeader(RegionFront.NEVER_RAN);
        Header type = response.getFirstHeader("Content-Type");
        boolean region = request.hop() != null;
        result = new CallResult.Answered(response.getCode(),
                neverRan != null && "1".equals(neverRan.getValue()), type == null ? null : type.getValue(),
                bytes, region ? number(RegionFront.TOOK, 1) : -1, region ? number("Retry-After", SECOND)
                        : -1);
        connection.answered();
    }

    /**
     * Told by the connection when it has read what there was. Only now is it known whether more has come
     * than the answer; then the answer still counts, but the connection must never carry another call.
     */
    void settle(boolean good) {
        CallResult whole = result;
        if (whole != null) {
            result = null;
            calls.release(connection, good && !stopped && sent());
            end(whole);
        }
    }

    /** A header's number in microseconds, -1 where there is none that makes sense. */
    private long number(String name, double unit) {
        Header header = response.getFirstHeader(name);
        double value = header == null || header.getValue() == null ? 0
                : RequestReader.units(header.getValue());
        return header == null || value < 0 ? -1 : (long) Math.min(value * unit, LONGEST);
    }

    /** Counts it if it has gone out whole; to be asked whenever some of it may have. */
    void countWritten() {
        if (!counted.get() && sent() && counted.compareAndSet(false, true)) {
            written.run();
        }
    }

    private boolean sent() {
        EndpointDetails details = endpoint;
        return details != null && details.getSentBytesCount() - sentBefore >= length;
    }

    // ---- The end without an answer -----------------------------------------------------------------
    @Override
    public void failed(Exception cause) {
        Stage stage = response != null ? Stage.ANSWERING : sent() ? Stage.ON_WIRE : Stage.WRITING;
        end(new CallResult.Broken(stage, String.valueOf(cause.getMessage())));
    }

    @Override
    public void cancel() {
        end(new CallResult.Broken(Stage.WRITING, "the connection closed before the call was written"));
    }

    @Override
    public void releaseResources() {
        body = null;
    }
}
