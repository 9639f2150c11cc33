package reedmux.gatekeeper.service;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.http.RequestBody;
import reedmux.gatekeeper.http.RequestFrontend;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.routing.RouteTable;

/**
 * The common frontend of all services. It routes each request by host and path to its service, whose frontend parses
 * the request. A request with an ambiguous host or path is rejected, and its connection is closed.
 */
public final class RoutingFrontend implements RequestFrontend {
    private final MonotonicClock clock;
    private volatile ServiceRouting routing;

    RoutingFrontend(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Replaces the routing for all requests parsed from now on. */
    void setRouting(ServiceRouting newRouting) {
        routing = newRouting;
    }

    ServiceRouting routing() {
        return routing;
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public ParsedRequest parse(
            HttpRequest request, RequestBody body, long receivedAt, Invocation.AnswerSink answerSink) {
        ServiceRouting current = routing;
        if (current.routes() == null) {
            return current.defaultService().frontend().parse(request, body, receivedAt, answerSink);
        }
        Header header = request.getFirstHeader("Host");
        String host = header == null || header.getValue().isEmpty() ? null : header.getValue();
        int index = current.routes().find(host, request.getPath());
        if (index == RouteTable.AMBIGUOUS) {
            return ParsedRequest.rejectedAndClosed(400, "the host or the path can be read in two ways");
        }
        ServiceRuntime service =
                index == RouteTable.NONE ? null : current.targets().get(index);
        if (service == null) {
            return ParsedRequest.rejected(GatewayResponse.text(404, "no service of this host and path"));
        } else if (host == null && !service.servesWithoutHost()) {
            return ParsedRequest.rejectedAndClosed(400, "Host is missing");
        }
        return service.frontend()
                .parse(request, body, receivedAt, answerSink)
                .withIntakeLimiter(service.intakeLimiter());
    }
}
