package reedmux.gatekeeper.http;

import java.util.Locale;
import java.util.function.Consumer;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.http.UpstreamConnection.UpstreamEndpoint;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.UpstreamCall;

/** Calls to another region's gateways, over connections of their own; each is written once and no more. */
public final class RegionClient {
    private final UpstreamConnectionPool pool;
    private final Consumer<ReducerEvent> eventSink;
    private final PolicySettings settings;
    private final String ownRegion;

    /** {@code ownRegion}: our own name, which the requests carry as the place that they have passed. */
    public RegionClient(
            UpstreamConnectionPool calls, Consumer<ReducerEvent> events, PolicySettings settings, String region) {
        this.pool = calls;
        this.eventSink = events;
        this.settings = settings;
        this.ownRegion = region;
    }

    /** Starts a call; the other region is told the time that the decision leaves it. */
    public void call(UpstreamCall call, ForwardedRequest departure) {
        ConsumerRequest message = (ConsumerRequest) call.invocation().message();
        UpstreamRequest.RegionHop hop = new UpstreamRequest.RegionHop(
                ownRegion,
                RegionFrontend.wireName(
                        settings.classes().get(call.invocation().requestClass()).idempotency()),
                String.format(Locale.ROOT, "%.6f", call.invocation().units()));
        call.transport(pool.execute(
                new UpstreamEndpoint(call.provider(), call.address()),
                new UpstreamRequest(
                        message.method(),
                        message.target(),
                        ProviderClient.authority(call.address()),
                        message.traceId(),
                        departure.grantedMicros() / 1000,
                        message.contentType(),
                        message.body(),
                        null,
                        hop),
                result -> eventSink.accept(new ReducerEvent.CallEnded(call, result))));
    }
}
