package reedmux.gatekeeper.service;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.http.RequestBody;
import reedmux.gatekeeper.http.RequestFrontend;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.routing.RouteTable;

/**
 * The consumers' side of all pools: leads each request to its pool, which reads it by its own classes and
 * plans. What can be read in two ways is refused and ends the connection, and nothing of it is passed on.
 */
public final class RoutingFrontend implements RequestFrontend {
    private final MonotonicClock clock;
    private volatile ServiceRouting routing;

    RoutingFrontend(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Leads what is read from now on by this table. */
    void setRouting(ServiceRouting now) {
        routing = now;
    }

    ServiceRouting routing() {
        return routing;
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public boolean reportsProcessingTime() {
        return false;
    }

    @Override
    public GatewayResponse toResponse(FinalAnswer answer) {
        return GatewayResponse.of(answer);
    }

    @Override
    public ParsedRequest parse(HttpRequest request, RequestBody body, long takenAt, Invocation.AnswerSink reply) {
        ServiceRouting now = routing;
        if (now.routes() == null) {
            return now.defaultService().frontend().parse(request, body, takenAt, reply);
        }
        Header host = request.getFirstHeader("Host");
        boolean none = host == null || host.getValue().isEmpty();
        int service = now.routes().find(none ? null : host.getValue(), request.getPath());
        if (service == RouteTable.AMBIGUOUS) {
            return ParsedRequest.last(400, "the host or the path can be read in two ways");
        }
        ServiceRuntime pool = service == RouteTable.NONE ? null : now.targets().get(service);
        if (pool == null) {
            return ParsedRequest.rejected(GatewayResponse.text(404, "no service of this host and path"));
        } else if (none && !pool.servesWithoutHost()) {
            return ParsedRequest.last(400, "Host is missing");
        }
        return pool.frontend().parse(request, body, takenAt, reply).withIntakeLimiter(pool.intakeLimiter());
    }
}
