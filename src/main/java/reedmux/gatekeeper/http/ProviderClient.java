package reedmux.gatekeeper.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import reedmux.gatekeeper.http.UpstreamConnection.UpstreamEndpoint;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.UpstreamCall;

/** Sends calls and health checks to providers, and requests to the discovery service and to this gateway itself. */
public final class ProviderClient {
    /** Provider id of endpoints that are not providers. */
    private static final String NO_PROVIDER_ID = "";

    private final UpstreamConnectionPool pool;
    private final Consumer<ReducerEvent> eventSink;
    private final Runnable writtenListener;

    /**
     * Creates a client that sends results to {@code eventSink} and runs {@code writtenListener} for each call that has
     * been written completely.
     */
    public ProviderClient(UpstreamConnectionPool pool, Consumer<ReducerEvent> eventSink, Runnable writtenListener) {
        this.writtenListener = writtenListener;
        this.pool = pool;
        this.eventSink = eventSink;
    }

    /** Starts a call with a time-out in microseconds; the time-out of a streamed request starts after its last byte. */
    public void call(UpstreamCall call, long timeout) {
        ConsumerRequest message = (ConsumerRequest) call.invocation().message();
        // The time-out of a streamed request starts after its last byte.
        long advertisedTimeout = message.stream() == null ? timeout : message.timeoutMicros();
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

    /** Aborts a call; its result is reported when its connection has been closed. */
    public void abort(UpstreamCall call) {
        ((UpstreamExchange) call.transportState()).abort();
    }

    /**
     * Aborts a call, unless its request has been written completely and the provider may therefore have received it.
     */
    public void abortUnlessSent(UpstreamCall call) {
        ((UpstreamExchange) call.transportState()).abortUnlessSent();
    }

    /** Aborts a call whose connection has not been established yet. */
    public void abortConnect(UpstreamCall call) {
        ((UpstreamExchange) call.transportState()).abortConnect();
    }

    /** Requests {@code /healthz} from a provider; the result is sent as an event. */
    public void checkHealth(String provider, InetSocketAddress address, long startedAt) {
        pool.execute(
                new UpstreamEndpoint(provider, address),
                UpstreamRequest.get("/healthz", authority(address)),
                result -> eventSink.accept(new ReducerEvent.HealthCheckCompleted(provider, startedAt, result)));
    }

    /** Fetches a document; running the returned handle aborts the call. */
    public Runnable fetch(InetSocketAddress address, String target, Consumer<CallResult> completionListener) {
        return pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, address),
                UpstreamRequest.get(target, authority(address)),
                completionListener)::abort;
    }

    /** Sends a POST request if {@code body} is not empty, and a GET request otherwise. */
    public void send(InetSocketAddress address, String target, byte[] body, Consumer<CallResult> completionListener) {
        String method = body.length > 0 ? "POST" : "GET";
        pool.execute(
                new UpstreamEndpoint(NO_PROVIDER_ID, address),
                new UpstreamRequest(method, target, authority(address), null, -1, null, body),
                completionListener);
    }

    /** Sends a POST request with a streamed body. */
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

    /** Closes the idle connections to an endpoint that is not a provider. */
    public void closeIdle(InetSocketAddress address) {
        closeIdle(NO_PROVIDER_ID, address);
    }

    static String authority(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
