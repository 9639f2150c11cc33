package reedmux.http;

import java.util.Locale;
import java.util.function.Consumer;
import reedmux.core.Event;
import reedmux.core.InvokerCall;
import reedmux.http.Connection.Origin;
import reedmux.policy.Gateway.Settings;
import reedmux.region.Departure;

/** Calls to another region's gateways, over connections of their own; each is written once and no more. */
public final class RegionClient {
    private final Calls calls;
    private final Consumer<Event> events;
    private final Settings settings;
    private final String region;

    /** {@code region}: our own name, which the requests carry as the place that they have passed. */
    public RegionClient(Calls calls, Consumer<Event> events, Settings settings, String region) {
        this.calls = calls;
        this.events = events;
        this.settings = settings;
        this.region = region;
    }

    /** Starts a call; the other region is told the time that the decision leaves it. */
    public void call(InvokerCall call, Departure departure) {
        Message message = (Message) call.invocation().message();
        OutgoingRequest.Hop hop = new OutgoingRequest.Hop(
                region,
                RegionFront.word(
                        settings.classes().get(call.invocation().requestClass()).repeat()),
                String.format(Locale.ROOT, "%.6f", call.invocation().units()));
        call.transport(calls.start(
                new Origin(call.provider(), call.address()),
                new OutgoingRequest(
                        message.method(),
                        message.target(),
                        ProviderClient.host(call.address()),
                        message.traceId(),
                        departure.told() / 1000,
                        message.contentType(),
                        message.body(),
                        null,
                        hop),
                result -> events.accept(new Event.CallEnded(call, result))));
    }
}
