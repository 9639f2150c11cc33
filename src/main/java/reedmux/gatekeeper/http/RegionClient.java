package reedmux.gatekeeper.http;

import java.util.Locale;
import java.util.function.Consumer;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.http.UpstreamConnection.UpstreamEndpoint;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.UpstreamCall;

/** Forwards requests to the gateways of another region, over a separate connection pool. */
public final class RegionClient {
    private final UpstreamConnectionPool pool;
    private final Consumer<ReducerEvent> eventSink;
    private final PolicySettings settings;
    private final String ownRegion;

    /** Creates a client; {@code ownRegion} is the region name that forwarded requests carry in their region path. */
    public RegionClient(
            UpstreamConnectionPool pool, Consumer<ReducerEvent> eventSink, PolicySettings settings, String ownRegion) {
        this.pool = pool;
        this.eventSink = eventSink;
        this.settings = settings;
        this.ownRegion = ownRegion;
    }

    /** Starts a call with the time-out that the forwarding decision grants to the other region. */
    public void call(UpstreamCall call, ForwardedRequest forwardedRequest) {
        ConsumerRequest message = (ConsumerRequest) call.invocation().message();
        UpstreamRequest.RegionHop hop = new UpstreamRequest.RegionHop(
                ownRegion,
                RegionFrontend.wireName(
                        settings.classes().get(call.invocation().requestClass()).idempotency()),
                String.format(Locale.ROOT, "%.6f", call.invocation().units()));
        call.transportState(pool.execute(
                new UpstreamEndpoint(call.provider(), call.address()),
                new UpstreamRequest(
                        message.method(),
                        message.target(),
                        ProviderClient.authority(call.address()),
                        message.traceId(),
                        forwardedRequest.grantedMicros() / 1000,
                        message.contentType(),
                        message.body(),
                        null,
                        hop),
                result -> eventSink.accept(new ReducerEvent.CallEnded(call, result))));
    }
}
