package reedmux.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import reedmux.core.CallResult;
import reedmux.core.Event;
import reedmux.core.InvokerCall;
import reedmux.http.Connection.Origin;

/** Invoker calls and probes, in HTTP. */
public final class ProviderClient {
    /** In place of a provider's id where it is discovery that is called, or ourselves. */
    private static final String NOBODY = "";

    private final Calls calls;
    private final Consumer<Event> events;
    private final Runnable written;

    /** {@code written} hears of each invoker call that has been written whole. */
    public ProviderClient(Calls calls, Consumer<Event> events, Runnable written) {
        this.written = written;
        this.calls = calls;
        this.events = events;
    }

    /** Starts a call; the provider is told that we wait for {@code timeout} microseconds. */
    public void call(InvokerCall call, long timeout) {
        Message message = (Message) call.invocation().message();
        long told = message.flow() == null ? timeout : message.patience(); // it begins with the last byte
        call.transport(calls.start(
                new Origin(call.provider(), call.address()),
                new OutgoingRequest(
                        message.method(),
                        message.target(),
                        host(call.address()),
                        message.traceId(),
                        told / 1000,
                        message.contentType(),
                        message.body(),
                        message.flow(),
                        null),
                written,
                head -> events.accept(new Event.AnswerBegun(call, head)),
                result -> events.accept(new Event.CallEnded(call, result))));
    }

    public void stop(InvokerCall call) {
        ((CallExchange) call.transport()).stop();
    }

    public void stopConnecting(InvokerCall call) {
        ((CallExchange) call.transport()).stopConnecting();
    }

    public void probe(String provider, InetSocketAddress address, long askedAt) {
        calls.start(
                new Origin(provider, address),
                OutgoingRequest.get("/healthz", host(address)),
                result -> events.accept(new Event.ProbeEnded(provider, askedAt, result)));
    }

    /** Fetches a document; the handle given back ends the call when run. */
    public Runnable get(InetSocketAddress from, String target, Consumer<CallResult> done) {
        return calls.start(new Origin(NOBODY, from), OutgoingRequest.get(target, host(from)), done)::stop;
    }

    /** Sends a body, or none, and hears of the end. */
    public void ask(InetSocketAddress from, String target, byte[] body, Consumer<CallResult> done) {
        String method = body.length > 0 ? "POST" : "GET";
        calls.start(
                new Origin(NOBODY, from), new OutgoingRequest(method, target, host(from), null, -1, null, body), done);
    }

    /** Sends a long body, as it would be passed on, and hears of the end. */
    public void askAtLength(InetSocketAddress from, String target, byte[] body, Consumer<CallResult> done) {
        Flow flow = new Flow(body.length, body.length, body.length);
        flow.put(ByteBuffer.wrap(body));
        flow.finish();
        calls.start(
                new Origin(NOBODY, from),
                new OutgoingRequest("POST", target, host(from), null, -1, null, Body.NONE, flow, null),
                done);
    }

    /** Closes the idle connections to a provider. */
    public void closeIdle(String provider, InetSocketAddress address) {
        calls.closeIdle(new Origin(provider, address));
    }

    /** Closes the idle connections to whoever is no provider. */
    public void closeIdle(InetSocketAddress address) {
        closeIdle(NOBODY, address);
    }

    static String host(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
