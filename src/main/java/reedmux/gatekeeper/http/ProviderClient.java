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
        long advertisedTimeout =
                message.stream() == null ? timeout : message.timeoutMicros(); // it begins with the last byte
        call.transportState(pool.execute(
                new UpstreamEndpoint(call.provider(), call.address()),
                new UpstreamRequest(
                        message.method(),
                        message.target(),
                        authority(call.address()),
                        message.traceId(),
                        advertisedTimeout / 1000,
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
    public void checkHealth(String provider, InetSocketAddress address, long startedAt) {
        pool.execute(
                new UpstreamEndpoint(provider, address),
                UpstreamRequest.get("/healthz", authority(address)),
                result -> eventSink.accept(new ReducerEvent.HealthCheckCompleted(provider, startedAt, result)));
    }

    /** Fetches a document; the returned handle aborts the call. */
    public Runnable fetch(InetSocketAddress address, String target, Consumer<CallResult> completionListener) {
        return pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, address),
                UpstreamRequest.get(target, authority(address)),
                completionListener)::abort;
    }

    /** Sends a POST with a body, or a GET without one. */
    public void send(InetSocketAddress address, String target, byte[] body, Consumer<CallResult> completionListener) {
        String method = body.length > 0 ? "POST" : "GET";
        pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, address),
                new UpstreamRequest(method, target, authority(address), null, -1, null, body),
                completionListener);
    }

    /** Sends a POST whose body is streamed. */
    public void sendStreamed(
            InetSocketAddress address, String target, byte[] body, Consumer<CallResult> completionListener) {
        BodyStream stream = new BodyStream(body.length, body.length, body.length);
        stream.receive(ByteBuffer.wrap(body));
        stream.complete();
        pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, address),
                new UpstreamRequest(
                        "POST", target, authority(address), null, -1, null, BufferedBody.EMPTY, stream, null),
                completionListener);
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
