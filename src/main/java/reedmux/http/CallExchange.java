package reedmux.http;

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
import reedmux.core.CallResult;
import reedmux.core.CallResult.Stage;

/** One request of ours and what came of it. */
final class CallExchange implements AsyncClientExchangeHandler {
    private static final int SERVED = 200;
    /**
     * An answer that does not tell its length is passed on once it has so many bytes and is so slow, in
     * microseconds: it may be a long one, and its consumer waits for the first of it.
     */
    private static final int LITTLE = 4 * 1024;

    private static final long SLOW = TimeUnit.MILLISECONDS.toMicros(20);
    /** How long a provider may neither take nor bring a byte in the middle of a long body. */
    private static final long HALTED = TimeUnit.SECONDS.toMicros(15);

    private static final double SECOND = 1e6;
    /** Of times that another region tells, in microseconds. */
    private static final double LONGEST = 3.6e9;

    private final Calls calls;
    private final Connection.Origin origin;
    private final OutgoingRequest request;
    private final Runnable written;
    private final Consumer<CallResult> done;
    private final Consumer<CallResult.Answered> begun;
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
    private long headAt;
    /** Whether the answer does not tell its length. */
    private boolean untold;

    private Body.In body;
    /** The rest of an answer that is passed on as it comes, or null. */
    private volatile Flow rest;

    private volatile boolean uploaded;
    private long window = Transport.WINDOW;
    /** What had moved when that was looked at last, and when; below nought before the first look. */
    private long moved = -1;

    private long movedAt;
    private CallResult result;

    CallExchange(
            Calls calls,
            Connection.Origin origin,
            OutgoingRequest request,
            Runnable written,
            Consumer<CallResult.Answered> begun,
            Consumer<CallResult> done) {
        this.begun = begun;
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
            calls.flowsNoMore(this);
            countWritten();
            done.accept(result);
        }
    }

    // ---- The request -------------------------------------------------------------------------------
    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        connection.asked();
        head = request.head();
        length = request.length(head);
        EndpointDetails details = HttpCoreContext.cast(context).getEndpointDetails();
        sentBefore = details.getSentBytesCount();
        endpoint = details;
        int bytes = request.body().length;
        if (request.flow() != null) {
            request.flow().onFailure(this::stop); // what was sent of it is no request, and never runs
            channel.sendRequest(head, new BasicEntityDetails(request.flow().length(), null), context);
            return;
        }
        out = new Body.Out(request.body());
        channel.sendRequest(head, bytes == 0 ? null : new BasicEntityDetails(bytes, null), context);
    }

    @Override
    public int available() {
        return request.flow() != null ? request.flow().available() : out == null ? 0 : out.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (request.flow() == null) {
            out.write(channel);
        } else if (request.flow().writeTo(channel)) {
            uploaded = true;
        }
    }

    // ---- The response ------------------------------------------------------------------------------
    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) {}

    @Override
    public void consumeResponse(HttpResponse received, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        response = received;
        headAt = calls.now();
        if (entity == null) {
            answered(Body.NONE);
        } else if (entity.getContentLength() > (flows() ? Transport.MOST_FLOWING : Transport.MOST_BODY)) {
            throw new IOException("the answer is too long"); // it may go on for 3 GB
        } else {
            body = new Body.In(entity);
            untold = entity.getContentLength() < 0;
            if (entity.getContentLength() > Transport.MOST_BODY) {
                begin(entity.getContentLength(), Transport.WINDOW);
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        if (rest != null) {
            rest.source(capacity);
        } else {
            window += Transport.MOST_BODY;
            capacity.update(Transport.MOST_BODY);
        }
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        if (rest != null) {
            if (!rest.put(source)) {
                throw new IOException("the answer is too long");
            }
            return;
        }
        ByteBuffer same = source.duplicate();
        body.take(source);
        if (flows() && (body.tooLong() || untold && body.size() > LITTLE && calls.now() - headAt > SLOW)) {
            boolean kept = !body.tooLong();
            begin(-1, window);
            if (!kept) {
                rest.put(same);
            }
        } else if (body.tooLong()) {
            throw new IOException("the answer is too long");
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (rest != null) {
            rest.finish();
            answered(Body.NONE);
        } else {
            answered(body.bytes());
        }
    }

    /** Whether an answer may be passed on before it is whole. */
    private boolean flows() {
        return begun != null && response.getCode() == SERVED;
    }

    /** Passes the answer on from here on, as it comes. */
    private void begin(long told, long granted) {
        rest = new Flow(told, Transport.MOST_FLOWING, granted);
        rest.put(ByteBuffer.wrap(body.bytes()));
        calls.flows(this);
        Header type = response.getFirstHeader("Content-Type");
        begun.accept(new CallResult.Answered(
                SERVED, false, type == null ? null : type.getValue(), Body.NONE, -1, -1, rest, 0));
    }

    /** Gives it up where the provider neither takes nor brings anything, though it is waited for. */
    void stopIfHalted(long now) {
        Flow up = request.flow();
        Flow down = rest;
        long sum = (up == null ? 0 : up.moved()) + (down == null ? 0 : down.moved());
        boolean waits = down == null ? up != null && !uploaded && up.waits() : down.wants();
        if (sum != moved || !waits) {
            moved = sum;
            movedAt = now;
        } else if (now - movedAt > HALTED) {
            stop();
        }
    }

    private void answered(byte[] bytes) {
        Header neverRan = response.getFirstHeader(RegionFront.NEVER_RAN);
        Header type = response.getFirstHeader("Content-Type");
        boolean region = request.hop() != null;
        result = new CallResult.Answered(
                response.getCode(),
                neverRan != null && "1".equals(neverRan.getValue()),
                type == null ? null : type.getValue(),
                bytes,
                region ? number(RegionFront.TOOK, 1) : -1,
                region ? number("Retry-After", SECOND) : -1,
                null,
                Math.max(0, calls.now() - headAt));
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
        double value = header == null || header.getValue() == null ? 0 : RequestReader.units(header.getValue());
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
        boolean last = request.flow() == null || uploaded;
        return last && details != null && details.getSentBytesCount() - sentBefore >= length;
    }

    // ---- The end without an answer -----------------------------------------------------------------
    @Override
    public void failed(Exception cause) {
        Flow broken = rest;
        if (broken != null) {
            broken.fail();
        }
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
