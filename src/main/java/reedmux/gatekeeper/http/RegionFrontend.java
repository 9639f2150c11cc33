package reedmux.gatekeeper.http;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * Parses the requests that other regions forward; docs/regions.md describes their format. A response carries the header
 * {@link #NEVER_RAN_HEADER} if and only if the request certainly did not run in this region; this includes invalid
 * requests.
 */
public final class RegionFrontend implements RequestFrontend {
    static final String REGION_PATH_HEADER = "X-Region-Path";
    static final String REGION_REPEAT_HEADER = "X-Region-Repeat";
    static final String REGION_UNITS_HEADER = "X-Region-Units";
    static final String REGION_TOOK_HEADER = "X-Region-Took-Us";
    static final String NEVER_RAN_HEADER = "X-Never-Ran";
    /**
     * Retry delay sent to a region whose requests are invalid here; they remain invalid until the settings are
     * corrected.
     */
    private static final long MISCONFIGURATION_RETRY_AFTER_MICROS = 10_000_000;

    private final PolicySettings settings;
    private final MonotonicClock clock;
    private final Consumer<ReducerEvent> eventSink;
    private final Map<String, Integer> classes = new HashMap<>();

    /** Creates a frontend for requests from other regions; {@code eventSink} receives the events of all invocations. */
    public RegionFrontend(PolicySettings settings, MonotonicClock clock, Consumer<ReducerEvent> eventSink) {
        this.eventSink = eventSink;
        this.settings = settings;
        this.clock = clock;
        List<RequestClass> requestClasses = settings.classes();
        for (int i = 0; i < requestClasses.size(); i++) {
            classes.put(requestClasses.get(i).name(), i);
        }
    }

    /** Returns the value of {@link #REGION_REPEAT_HEADER} for the idempotency of a request class. */
    static String wireName(Idempotency idempotency) {
        return idempotency.name().toLowerCase(Locale.ROOT);
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
    public ParsedRequest parse(
            HttpRequest request, RequestBody body, long receivedAt, Invocation.AnswerSink answerSink) {
        try {
            if (!RequestHeaders.isPlainTarget(request.getPath())) {
                throw new InvalidHeaderException("the target holds a character that has no place there");
            }
            RegionPath path = parsePath(request);
            int requestClass = parseClass(request);
            Idempotency idempotency = checkIdempotency(request, requestClass);
            String traceId = RequestHeaders.requireHexId(request, RequestHeaders.TRACE_ID);
            long timeoutMicros = RequestHeaders.remainingTimeMicros(request);
            IncomingRequest incoming = new IncomingRequest(
                    traceId,
                    requestClass,
                    TrafficPolicy.REMOTE_REQUEST_PLAN,
                    TrafficPolicy.REMOTE_REQUEST_PLAN,
                    receivedAt + timeoutMicros,
                    parseUnits(request),
                    1,
                    settings.self(),
                    false);
            ConsumerRequest message = new ConsumerRequest(
                    request.getMethod(),
                    request.getPath(),
                    traceId,
                    RequestHeaders.contentType(request),
                    body,
                    timeoutMicros);
            Invocation invocation = new Invocation(incoming, idempotency == Idempotency.SAFE, message, answerSink);
            return ParsedRequest.of(invocation, new ReducerEvent.RemoteInvocationAccepted(invocation, path), eventSink);
        } catch (InvalidHeaderException e) {
            return ParsedRequest.rejected(
                    GatewayResponse.text(503, e.getMessage(), MISCONFIGURATION_RETRY_AFTER_MICROS, true));
        }
    }

    private static RegionPath parsePath(HttpRequest request) throws InvalidHeaderException {
        RegionPath path = RegionPath.parse(RequestHeaders.requireHeader(request, REGION_PATH_HEADER));
        if (path == null) {
            throw new InvalidHeaderException(REGION_PATH_HEADER + " is no list of regions");
        }
        return path;
    }

    private int parseClass(HttpRequest request) throws InvalidHeaderException {
        String name = RequestHeaders.requestClassName(request.getPath());
        Integer requestClass = classes.get(name);
        if (requestClass == null) {
            throw new InvalidHeaderException("no such class: " + name);
        }
        return requestClass;
    }

    /**
     * Checks that the request class has the same idempotency in both regions: otherwise one region would retry requests
     * that the other must not run twice.
     */
    private Idempotency checkIdempotency(HttpRequest request, int requestClass) throws InvalidHeaderException {
        RequestClass own = settings.classes().get(requestClass);
        Idempotency idempotency = own.idempotency();
        String method = idempotency == Idempotency.SAFE ? "GET" : "POST";
        if (!RequestHeaders.requireHeader(request, REGION_REPEAT_HEADER).equals(wireName(idempotency))
                || !request.getMethod().equals(method)) {
            throw new InvalidHeaderException("the class " + own.name() + " is " + wireName(idempotency) + " here");
        }
        return idempotency;
    }

    private double parseUnits(HttpRequest request) throws InvalidHeaderException {
        double units = RequestHeaders.parseDecimal(RequestHeaders.requireHeader(request, REGION_UNITS_HEADER));
        if (!(units > 0) || units > settings.maxUnits()) {
            throw new InvalidHeaderException(REGION_UNITS_HEADER + " is not what one request may take");
        }
        return units;
    }

    @Override
    public GatewayResponse toResponse(FinalAnswer answer) {
        if (answer instanceof FinalAnswer.Rejected rejected) {
            return GatewayResponse.text(503, "rejected", rejected.retryAfter(), rejected.neverRan());
        }
        return GatewayResponse.of(answer);
    }
}
