package reedmux.gatekeeper.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import reedmux.gatekeeper.http.UpstreamConnection.UpstreamEndpoint;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.UpstreamCall;

/** Sends calls and health checks to providers, and requests to discovery and to ourselves. */
public final class ProviderClient {
    /** The provider id of what is no provider. */
    private static final String NO_PROVIDER_ID = "";

    private final UpstreamConnectionPool pool;
    private final Consumer<ReducerEvent> eventSink;
    private final Runnable writtenListener;

    /**
     * A client whose results go to {@code eventSink}; {@code writtenListener} is run for each call that was written.
     */
    public ProviderClient(UpstreamConnectionPool pool, Consumer<ReducerEvent> eventSink, Runnable writtenListener) {
        this.writtenListener = writtenListener;
        this.pool = pool;
        this.eventSink = eventSink;
    }

    /** Starts a call with a time-out in microseconds; that of a streamed request begins with its last byte. */
    public void call(UpstreamCall call, long timeout) {
        ConsumerRequest message = (ConsumerRequest) call.invocation().message();
        long told = message.stream() == null ? timeout : message.timeoutMicros(); // it begins with the last byte
        call.transportState(pool.execute(
                new UpstreamEndpoint(call.provider(), call.address()),
                new UpstreamRequest(
                        message.method(),
                        message.target(),
                        authority(call.address()),
                        message.traceId(),
                        told / 1000,
                        message.contentType(),
                        message.body(),
                        message.stream(),
                        null),
                writtenListener,
                head -> eventSink.accept(new ReducerEvent.ResponseStarted(call, head)),
                result -> eventSink.accept(new ReducerEvent.CallEnded(call, result))));
    }

    /** Aborts a call; its result follows when its connection is closed. */
    public void abort(UpstreamCall call) {
        ((UpstreamExchange) call.transportState()).abort();
    }

    /** Aborts a call of which the provider cannot have received the whole request. */
    public void abortUnlessSent(UpstreamCall call) {
        ((UpstreamExchange) call.transportState()).abortUnlessSent();
    }

    /** Ends a call whose connection is not established yet. */
    public void abortConnect(UpstreamCall call) {
        ((UpstreamExchange) call.transportState()).abortConnect();
    }

    /** Asks a provider for {@code /healthz}; the outcome comes as an event. */
    public void checkHealth(String provider, InetSocketAddress address, long askedAt) {
        pool.execute(
                new UpstreamEndpoint(provider, address),
                UpstreamRequest.get("/healthz", authority(address)),
                result -> eventSink.accept(new ReducerEvent.HealthCheckCompleted(provider, askedAt, result)));
    }

    /** Fetches a document; the returned handle aborts the call. */
    public Runnable fetch(InetSocketAddress from, String target, Consumer<CallResult> done) {
        return pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, from), UpstreamRequest.get(target, authority(from)), done)::abort;
    }

    /** Sends a POST with a body, or a GET without one. */
    public void send(InetSocketAddress from, String target, byte[] body, Consumer<CallResult> done) {
        String method = body.length > 0 ? "POST" : "GET";
        pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, from),
                new UpstreamRequest(method, target, authority(from), null, -1, null, body),
                done);
    }

    /** Sends a POST whose body is streamed. */
    public void sendStreamed(InetSocketAddress from, String target, byte[] body, Consumer<CallResult> done) {
        BodyStream flow = new BodyStream(body.length, body.length, body.length);
        flow.receive(ByteBuffer.wrap(body));
        flow.complete();
        pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, from),
                new UpstreamRequest("POST", target, authority(from), null, -1, null, BufferedBody.EMPTY, flow, null),
                done);
    }

    /** Closes the idle connections to a provider. */
    public void closeIdle(String provider, InetSocketAddress address) {
        pool.closeIdle(new UpstreamEndpoint(provider, address));
    }

    /** Closes the idle connections to an address that is no provider's. */
    public void closeIdle(InetSocketAddress address) {
        closeIdle(NO_PROVIDER_ID, address);
    }

    static String authority(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
