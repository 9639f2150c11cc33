package reedmux.gatekeeper.http;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.http.ServiceFrontend.InvalidHeaderException;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * Requests that other regions send, as docs/regions.md tells the form. All that certainly did not run here,
 * and only that, is told so; a request that makes no sense has not run either.
 */
public final class RegionFrontend implements RequestFrontend {
    static final String REGION_PATH_HEADER = "X-Region-Path";
    static final String REGION_REPEAT_HEADER = "X-Region-Repeat";
    static final String REGION_UNITS_HEADER = "X-Region-Units";
    static final String REGION_TOOK_HEADER = "X-Region-Took-Us";
    static final String NEVER_RAN_HEADER = "X-Never-Ran";
    /** Advice to a region whose requests make no sense here, in microseconds: somebody must mend that. */
    private static final long MISCONFIGURATION_RETRY_AFTER_MICROS = 10_000_000;

    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

    private final PolicySettings settings;
    private final MonotonicClock clock;
    private final Consumer<ReducerEvent> eventSink;
    private final Map<String, Integer> classes = new HashMap<>();

    public RegionFrontend(PolicySettings settings, MonotonicClock clock, Consumer<ReducerEvent> home) {
        this.eventSink = home;
        this.settings = settings;
        this.clock = clock;
        List<RequestClass> kinds = settings.classes();
        for (int i = 0; i < kinds.size(); i++) {
            classes.put(kinds.get(i).name(), i);
        }
    }

    /** The word by which the link tells what a repeat does. */
    static String wireName(Idempotency repeat) {
        return repeat.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public boolean reportsProcessingTime() {
        return true;
    }

    @Override
    public long maxBodyBytes() {
        return HttpTransport.MAX_BUFFERED_BODY_BYTES;
    }

    @Override
    public ParsedRequest parse(HttpRequest request, RequestBody body, long takenAt, Invocation.AnswerSink reply) {
        try {
            if (!ServiceFrontend.isPlainTarget(request.getPath())) {
                throw new InvalidHeaderException("the target holds a character that has no place there");
            }
            RegionPath path = RegionPath.parse(ServiceFrontend.requiredHeader(request, REGION_PATH_HEADER));
            if (path == null) {
                throw new InvalidHeaderException(REGION_PATH_HEADER + " is no list of regions");
            }
            String name = ServiceFrontend.className(request.getPath());
            Integer requestClass = classes.get(name);
            if (requestClass == null) {
                throw new InvalidHeaderException("no such class: " + name);
            }
            // What a repeat does must be the same in both regions: the one that thinks it harmless would
            // else send again what the other must not have twice.
            Idempotency repeat = settings.classes().get(requestClass).idempotency();
            if (!ServiceFrontend.requiredHeader(request, REGION_REPEAT_HEADER).equals(wireName(repeat))
                    || !request.getMethod().equals(repeat == Idempotency.SAFE ? "GET" : "POST")) {
                throw new InvalidHeaderException("the class " + name + " is " + wireName(repeat) + " here");
            }
            String traceId = ServiceFrontend.hexHeader(request, "X-Trace-Id");
            long left = ServiceFrontend.integerHeader(request, "X-Expires-In-Ms", MAX_TIMEOUT_MILLIS) * 1000;
            double units = ServiceFrontend.parseDecimal(ServiceFrontend.requiredHeader(request, REGION_UNITS_HEADER));
            if (!(units > 0) || units > settings.maxUnits()) {
                throw new InvalidHeaderException(REGION_UNITS_HEADER + " is not what one request may take");
            }
            IncomingRequest decided = new IncomingRequest(
                    traceId,
                    requestClass,
                    TrafficPolicy.REMOTE_REQUEST_PLAN,
                    TrafficPolicy.REMOTE_REQUEST_PLAN,
                    takenAt + left,
                    units,
                    1,
                    settings.self(),
                    false);
            Invocation invocation = new Invocation(
                    decided,
                    repeat == Idempotency.SAFE,
                    new ConsumerRequest(
                            request.getMethod(),
                            request.getPath(),
                            traceId,
                            ServiceFrontend.contentType(request),
                            body,
                            left),
                    reply);
            return ParsedRequest.of(invocation, new ReducerEvent.RemoteInvocationAccepted(invocation, path), eventSink);
        } catch (InvalidHeaderException e) {
            return ParsedRequest.rejected(
                    GatewayResponse.text(503, e.getMessage(), MISCONFIGURATION_RETRY_AFTER_MICROS, true));
        }
    }

    @Override
    public GatewayResponse toResponse(FinalAnswer answer) {
        if (answer instanceof FinalAnswer.Served served) {
            return new GatewayResponse(
                    200, served.result().contentType(), served.result().body(), -1, false, (BodyStream)
                            served.result().remainingBody());
        } else if (answer instanceof FinalAnswer.Rejected rejection) {
            return GatewayResponse.text(503, "rejected", rejection.retryAfter(), rejection.neverRan());
        }
        boolean late = ((FinalAnswer.Failed) answer).deadlineExceeded();
        return GatewayResponse.text(late ? 504 : 502, late ? "no answer in time" : "failed");
    }
}
