package reedmux.gatekeeper.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/** Parses the requests of one service's consumers; invalid requests are rejected with the reason. */
public final class ServiceFrontend implements RequestFrontend {
    /** Exclusive upper bound of customer ids. */
    private static final long MAX_CUSTOMERS = 1L << 33;
    /**
     * Subtracted from the time that a consumer waits: its deadline started when it sent the request, slightly before
     * the request was received here, and the response needs time to travel back.
     */
    private static final long NETWORK_ALLOWANCE_MICROS = 2_000;

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final List<Metrics.ClassMetrics> classMetrics = new ArrayList<>();
    private final PolicySettings settings;
    private final MonotonicClock clock;
    private final Consumer<ReducerEvent> eventSink;

    /**
     * Creates a frontend for one service.
     *
     * @param eventSink receives the events of all invocations, on any thread
     * @param metrics   metrics that count the requests
     */
    public ServiceFrontend(
            PolicySettings settings,
            MonotonicClock clock,
            Consumer<ReducerEvent> eventSink,
            Metrics.ServiceMetrics metrics) {
        this.settings = settings;
        this.clock = clock;
        this.eventSink = eventSink;
        List<RequestClass> requestClasses = settings.classes();
        for (int i = 0; i < requestClasses.size(); i++) {
            classes.put(requestClasses.get(i).name(), i);
            classMetrics.add(metrics.forClass(requestClasses.get(i).name()));
        }
        List<CustomerPlan> customerPlans = settings.plans();
        for (int i = 0; i < customerPlans.size(); i++) {
            plans.put(customerPlans.get(i).name(), i);
        }
    }

    @Override
    public long now() {
        return clock.now();
    }

    /** Parses a warm-up request, whose answer is discarded; returns null if the request is invalid. */
    public Invocation parseWarmUp(HttpRequest request, byte[] body, long receivedAt) {
        return parse(request, RequestBody.buffered(body), receivedAt, answer -> {})
                .invocation();
    }

    @Override
    public ParsedRequest parse(
            HttpRequest request, RequestBody body, long receivedAt, Invocation.AnswerSink answerSink) {
        if (!RequestHeaders.isPlainTarget(request.getPath())) {
            return rejected(400, "the target holds a character that has no place there");
        }
        Integer requestClass = classes.get(RequestHeaders.requestClassName(request.getPath()));
        if (requestClass == null) {
            return rejected(404, "no such class");
        }
        return parse(request, requestClass, body, receivedAt, answerSink).withMetrics(classMetrics.get(requestClass));
    }

    private ParsedRequest parse(
            HttpRequest request,
            int requestClass,
            RequestBody body,
            long receivedAt,
            Invocation.AnswerSink answerSink) {
        Idempotency idempotency = settings.classes().get(requestClass).idempotency();
        if (!request.getMethod().equals(idempotency == Idempotency.SAFE ? "GET" : "POST")) {
            return rejected(405, "the class does not take this method");
        }
        try {
            String traceId = RequestHeaders.requireHexId(request, RequestHeaders.TRACE_ID);
            int plan = parsePlan(request);
            long customer = parseCustomer(request);
            long timeoutMicros = withoutNetworkAllowance(RequestHeaders.remainingTimeMicros(request));
            QuotaHeader quota = parseQuota(RequestHeaders.requireHeader(request, "X-Quota"));
            IncomingRequest incoming = new IncomingRequest(
                    traceId,
                    requestClass,
                    plan,
                    customer,
                    receivedAt + timeoutMicros + maxUploadMicros(body),
                    quota.units(),
                    quota.spread(),
                    quota.first(),
                    isRetry(request));
            ConsumerRequest message = new ConsumerRequest(
                    request.getMethod(),
                    request.getPath(),
                    traceId,
                    RequestHeaders.contentType(request),
                    body,
                    timeoutMicros);
            Invocation invocation = new Invocation(incoming, idempotency == Idempotency.SAFE, message, answerSink);
            return ParsedRequest.of(invocation, new ReducerEvent.InvocationAccepted(invocation), eventSink);
        } catch (InvalidHeaderException e) {
            return rejected(400, e.getMessage());
        }
    }

    private static ParsedRequest rejected(int status, String problem) {
        return ParsedRequest.rejected(GatewayResponse.text(status, problem));
    }

    private int parsePlan(HttpRequest request) throws InvalidHeaderException {
        Integer plan = plans.get(RequestHeaders.requireHeader(request, "X-Plan"));
        if (plan == null) {
            throw new InvalidHeaderException("X-Plan names no plan");
        }
        return plan;
    }

    private static long parseCustomer(HttpRequest request) throws InvalidHeaderException {
        long customer = Long.parseUnsignedLong(RequestHeaders.requireHexId(request, "X-Customer"), 16);
        if (customer < 0 || customer >= MAX_CUSTOMERS) {
            throw new InvalidHeaderException("X-Customer is out of range");
        }
        return customer;
    }

    private static boolean isRetry(HttpRequest request) {
        Header header = request.getFirstHeader("X-Second-Try");
        return header != null && "1".equals(header.getValue());
    }

    /** Returns the time limit for a streamed body in microseconds, or 0 if the body is already complete. */
    private static long maxUploadMicros(RequestBody body) {
        return body.stream() == null
                ? 0
                : MinimumRateGuard.maxDurationMicros(body.stream().length());
    }

    /**
     * Returns how long the consumer waits after the last byte of the request, in microseconds; 0 if the header is
     * invalid.
     */
    static long timeoutMicros(HttpRequest request) {
        try {
            return withoutNetworkAllowance(RequestHeaders.remainingTimeMicros(request));
        } catch (InvalidHeaderException e) {
            return 0;
        }
    }

    private static long withoutNetworkAllowance(long consumerWaitMicros) {
        return Math.max(0, consumerWaitMicros - NETWORK_ALLOWANCE_MICROS);
    }

    /** The {@code X-Quota} header: the units of the request, and which gatekeepers of the group count them. */
    private record QuotaHeader(double units, int spread, int first) {}

    /** Parses a value such as {@code units=2,spread=3,first=0}; unknown fields are ignored. */
    private QuotaHeader parseQuota(String header) throws InvalidHeaderException {
        Map<String, String> fields = new HashMap<>();
        for (String field : header.split(",", -1)) {
            String[] pair = field.trim().split("=", 2);
            if (fields.put(pair[0], pair[pair.length - 1]) != null) {
                throw new InvalidHeaderException("X-Quota tells " + pair[0] + " twice");
            }
        }
        double units = RequestHeaders.parseDecimal(fields.getOrDefault("units", ""));
        if (!(units > 0)) {
            throw new InvalidHeaderException("X-Quota needs units above 0");
        } else if (units > settings.maxUnits()) {
            throw new InvalidHeaderException("X-Quota has more units than one request may count");
        }
        int groupSize = settings.groupSize();
        long spread = RequestHeaders.parseInteger(fields.getOrDefault("spread", ""), groupSize);
        long first = RequestHeaders.parseInteger(fields.getOrDefault("first", ""), groupSize - 1);
        if (spread < 1 || first < 0) {
            throw new InvalidHeaderException("X-Quota needs spread and first within the group of " + groupSize);
        }
        return new QuotaHeader(units, (int) spread, (int) first);
    }
}
