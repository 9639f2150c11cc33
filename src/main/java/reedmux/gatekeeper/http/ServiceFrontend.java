package reedmux.gatekeeper.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/** Reads what the headers say of a request, and says plainly what is wrong with one. */
public final class ServiceFrontend implements RequestFrontend {
    private static final long MAX_CUSTOMERS = 1L << 33;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final int HEX_DIGITS = 16;
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    /**
     * The deadline runs from when the consumer sent the request, a little before we took it: this much is
     * taken off, and leaves time for the answer's way back.
     */
    private static final long NETWORK_ALLOWANCE_MICROS = 2_000;

    /** A header that is missing or makes no sense. */
    static final class InvalidHeaderException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidHeaderException(String message) {
            super(message, null, false, false);
        }
    }

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final List<Metrics.ClassMetrics> classMetrics = new ArrayList<>();
    private final PolicySettings settings;
    private final MonotonicClock clock;
    private final Consumer<ReducerEvent> eventSink;

    /** {@code eventSink} is told of each request, on whatever thread reads it; each is counted. */
    public ServiceFrontend(
            PolicySettings settings,
            MonotonicClock clock,
            Consumer<ReducerEvent> home,
            Metrics.ServiceMetrics figures) {
        this.settings = settings;
        this.clock = clock;
        this.eventSink = home;
        List<RequestClass> kinds = settings.classes();
        for (int i = 0; i < kinds.size(); i++) {
            classes.put(kinds.get(i).name(), i);
            classMetrics.add(figures.forClass(kinds.get(i).name()));
        }
        List<CustomerPlan> told = settings.plans();
        for (int i = 0; i < told.size(); i++) {
            plans.put(told.get(i).name(), i);
        }
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

    /** Reads a request that nobody waits for; null where it makes no sense here. */
    public Invocation parseWarmUp(HttpRequest request, byte[] body, long takenAt) {
        return parse(request, RequestBody.buffered(body), takenAt, answer -> {}).invocation();
    }

    @Override
    public ParsedRequest parse(HttpRequest request, RequestBody body, long takenAt, Invocation.AnswerSink reply) {
        if (!isPlainTarget(request.getPath())) {
            return rejected(400, "the target holds a character that has no place there");
        }
        Integer requestClass = classes.get(className(request.getPath()));
        if (requestClass == null) {
            return rejected(404, "no such class");
        }
        return read(request, requestClass, body, takenAt, reply).withMetrics(classMetrics.get(requestClass));
    }

    private ParsedRequest read(
            HttpRequest request, int requestClass, RequestBody body, long takenAt, Invocation.AnswerSink reply) {
        Idempotency repeat = settings.classes().get(requestClass).idempotency();
        if (!request.getMethod().equals(repeat == Idempotency.SAFE ? "GET" : "POST")) {
            return rejected(405, "the class does not take this method");
        }
        try {
            String traceId = hexHeader(request, "X-Trace-Id");
            Integer plan = plans.get(requiredHeader(request, "X-Plan"));
            if (plan == null) {
                throw new InvalidHeaderException("X-Plan names no plan");
            }
            long customer = Long.parseUnsignedLong(hexHeader(request, "X-Customer"), HEX_DIGITS);
            if (customer < 0 || customer >= MAX_CUSTOMERS) {
                throw new InvalidHeaderException("X-Customer is out of range");
            }
            long wait = integerHeader(request, "X-Expires-In-Ms", MAX_TIMEOUT_MILLIS) * 1000;
            QuotaHeader quota = parseQuota(requiredHeader(request, "X-Quota"));
            Header secondTry = request.getFirstHeader("X-Second-Try");
            Invocation invocation = new Invocation(
                    new IncomingRequest(
                            traceId,
                            requestClass,
                            plan,
                            customer,
                            takenAt
                                    + timeoutMicros(wait)
                                    + (body.stream() == null
                                            ? 0
                                            : MinimumRateGuard.maxDurationMicros(
                                                    body.stream().length())),
                            quota.units(),
                            quota.spread(),
                            quota.first(),
                            secondTry != null && "1".equals(secondTry.getValue())),
                    repeat == Idempotency.SAFE,
                    new ConsumerRequest(
                            request.getMethod(),
                            request.getPath(),
                            traceId,
                            contentType(request),
                            body,
                            timeoutMicros(wait)),
                    reply);
            return ParsedRequest.of(invocation, new ReducerEvent.InvocationAccepted(invocation), eventSink);
        } catch (InvalidHeaderException e) {
            return rejected(400, e.getMessage());
        }
    }

    /** How long a request may take after its last byte, in microseconds; 0 where that makes no sense. */
    static long timeoutMicros(HttpRequest request) {
        try {
            return timeoutMicros(integerHeader(request, "X-Expires-In-Ms", MAX_TIMEOUT_MILLIS) * 1000);
        } catch (InvalidHeaderException e) {
            return 0;
        }
    }

    private static long timeoutMicros(long wait) {
        return Math.max(0, wait - NETWORK_ALLOWANCE_MICROS);
    }

    private static ParsedRequest rejected(int status, String problem) {
        return ParsedRequest.rejected(GatewayResponse.text(status, problem));
    }

    static String contentType(HttpRequest request) {
        Header type = request.getFirstHeader("Content-Type");
        return type == null ? null : type.getValue();
    }

    /** What is not plain would reach the provider as something else. */
    static boolean isPlainTarget(String path) {
        return path.startsWith("/") && path.chars().allMatch(c -> c > ' ' && c < 0x7F && c != '#');
    }

    static String className(String path) {
        int end = 1;
        while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
            end++;
        }
        return path.isEmpty() ? "" : path.substring(1, end);
    }

    static String requiredHeader(HttpRequest request, String name) throws InvalidHeaderException {
        Header header = request.getFirstHeader(name);
        if (header == null || header.getValue() == null || header.getValue().isEmpty()) {
            throw new InvalidHeaderException(name + " is missing");
        }
        if (request.countHeaders(name) > 1) {
            throw new InvalidHeaderException(name + " is repeated"); // which of them counts would be a guess
        }
        return header.getValue();
    }

    static String hexHeader(HttpRequest request, String name) throws InvalidHeaderException {
        String value = requiredHeader(request, name);
        boolean good = value.length() == HEX_DIGITS;
        for (int i = 0; good && i < HEX_DIGITS; i++) {
            good = HexFormat.isHexDigit(value.charAt(i)); // Character.digit knows digits of all scripts
        }
        if (!good) {
            throw new InvalidHeaderException(name + " is not 16 hex digits");
        }
        return value;
    }

    static long integerHeader(HttpRequest request, String name, long most) throws InvalidHeaderException {
        long value = parseInteger(requiredHeader(request, name), most);
        if (value < 0) {
            throw new InvalidHeaderException(name + " is not a whole number from 0 to " + most);
        }
        return value;
    }

    /** A whole number in plain digits, or -1; the library's readers also take signs and other scripts. */
    private static long parseInteger(String text, long most) {
        return INTEGER.matcher(text).matches() && Long.parseLong(text) <= most ? Long.parseLong(text) : -1;
    }

    /** A decimal number in plain digits, or -1. */
    static double parseDecimal(String text) {
        return DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : -1;
    }

    /** What {@code X-Quota} says; fields that we do not know are passed over. */
    private record QuotaHeader(double units, int spread, int first) {}

    private QuotaHeader parseQuota(String header) throws InvalidHeaderException {
        Map<String, String> fields = new HashMap<>();
        for (String field : header.split(",", -1)) {
            String[] pair = field.trim().split("=", 2);
            if (fields.put(pair[0], pair[pair.length - 1]) != null) {
                throw new InvalidHeaderException("X-Quota tells " + pair[0] + " twice");
            }
        }
        String told = fields.getOrDefault("units", "");
        double units = parseDecimal(told);
        if (!(units > 0)) {
            throw new InvalidHeaderException("X-Quota needs units above 0");
        }
        if (units > settings.maxUnits()) {
            throw new InvalidHeaderException("X-Quota has more units than one request may count");
        }
        int group = settings.groupSize();
        long spread = parseInteger(fields.getOrDefault("spread", ""), group);
        long first = parseInteger(fields.getOrDefault("first", ""), group - 1);
        if (spread < 1 || first < 0) {
            throw new InvalidHeaderException("X-Quota needs spread and first within the group of " + group);
        }
        return new QuotaHeader(units, (int) spread, (int) first);
    }
}
