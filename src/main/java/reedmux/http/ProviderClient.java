package reedmux.http;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import reedmux.core.CallResult;
import reedmux.core.Event;
import reedmux.core.InvokerCall;

/** Invoker calls and probes, in HTTP. */
public final class ProviderClient {
    private final Calls calls;
    private final Consumer<Event> events;

    public ProviderClient(Calls calls, Consumer<Event> events) {
        this.calls = calls;
        this.events = events;
    }

    /** Starts a call; the provider is told that we wait for {@code timeout} microseconds. */
    public void call(InvokerCall call, long timeout) {
        Message message = (Message) call.invocation().message();
        call.transport(calls.start(call.address(), new OutgoingRequest(message.method(), message.target(),
                host(call.address()), message.traceId(), timeout / 1000, message.contentType(),
                message.body()), result -> events.accept(new Event.CallEnded(call, result))));
    }

    public void stop(InvokerCall call) {
        ((CallExchange) call.transport()).stop();
    }

    public void stopConnecting(InvokerCall call) {
        ((CallExchange) call.transport()).stopConnecting();
    }

    public void probe(String provider, InetSocketAddress address, long askedAt) {
        get(address, "/healthz", result -> events.accept(new Event.ProbeEnded(provider, askedAt, result)));
    }

    /** Fetches a document; the handle given back ends the call when run. */
    public Runnable get(InetSocketAddress from, String target, Consumer<CallResult> done) {
        return calls.start(from, OutgoingRequest.get(target, host(from)), done)::stop;
    }

    /** Sends a body, or none, and hears of the end. */
    public void ask(InetSocketAddress from, String target, byte[] body, Consumer<CallResult> done) {
        calls.start(from, new OutgoingRequest(body.length > 0 ? "POST" : "GET", target, host(from), null, -1,
                null, body), done);
    }

    public void closeIdle(InetSocketAddress address) {
        calls.closeIdle(address);
    }

    private static String host(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
