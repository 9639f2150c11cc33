package reedmux.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.core.Answer;
import reedmux.core.Clock;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.operator.Figures;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Settings;

/** Reads what the headers say of a request, and says plainly what is wrong with one. */
public final class RequestReader implements Front {
    private static final long MOST_CUSTOMERS = 1L << 33;
    private static final long MOST_MILLIS = 3_600_000;
    private static final int HEX_DIGITS = 16;
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    /**
     * The deadline runs from when the consumer sent the request, a little before we took it: this much is
     * taken off, and leaves time for the answer's way back.
     */
    private static final long ON_THE_WAY = 2_000;

    /** A header that is missing or makes no sense. */
    static final class BadHeader extends Exception {
        private static final long serialVersionUID = 1;

        BadHeader(String message) {
            super(message, null, false, false);
        }
    }

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final List<Figures.OfClass> counts = new ArrayList<>();
    private final Settings settings;
    private final Clock clock;
    private final Consumer<Event> home;

    /** {@code home} is told of each request, on whatever thread reads it; each is counted. */
    public RequestReader(Settings settings, Clock clock, Consumer<Event> home, Figures.OfService figures) {
        this.settings = settings;
        this.clock = clock;
        this.home = home;
        List<RequestClass> kinds = settings.classes();
        for (int i = 0; i < kinds.size(); i++) {
            classes.put(kinds.get(i).name(), i);
            counts.add(figures.ofClass(kinds.get(i).name()));
        }
        List<Plan> told = settings.plans();
        for (int i = 0; i < told.size(); i++) {
            plans.put(told.get(i).name(), i);
        }
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public boolean tellsTime() {
        return false;
    }

    @Override
    public Response response(Answer answer) {
        return Response.of(answer);
    }

    /** Reads a request that nobody waits for; null where it makes no sense here. */
    public Invocation practise(HttpRequest request, byte[] body, long takenAt) {
        return read(request, Content.whole(body), takenAt, answer -> {}).invocation();
    }

    @Override
    public Read read(HttpRequest request, Content body, long takenAt, Invocation.Reply reply) {
        if (!plain(request.getPath())) {
            return refused(400, "the target holds a character that has no place there");
        }
        Integer requestClass = classes.get(className(request.getPath()));
        if (requestClass == null) {
            return refused(404, "no such class");
        }
        return read(request, requestClass, body, takenAt, reply).counted(counts.get(requestClass));
    }

    private Read read(HttpRequest request, int requestClass, Content body, long takenAt, Invocation.Reply reply) {
        Repeat repeat = settings.classes().get(requestClass).repeat();
        if (!request.getMethod().equals(repeat == Repeat.SAFE ? "GET" : "POST")) {
            return refused(405, "the class does not take this method");
        }
        try {
            String traceId = hex(request, "X-Trace-Id");
            Integer plan = plans.get(text(request, "X-Plan"));
            if (plan == null) {
                throw new BadHeader("X-Plan names no plan");
            }
            long customer = Long.parseUnsignedLong(hex(request, "X-Customer"), HEX_DIGITS);
            if (customer < 0 || customer >= MOST_CUSTOMERS) {
                throw new BadHeader("X-Customer is out of range");
            }
            long wait = number(request, "X-Expires-In-Ms", MOST_MILLIS) * 1000;
            Quota quota = quota(text(request, "X-Quota"));
            Header secondTry = request.getFirstHeader("X-Second-Try");
            Invocation invocation = new Invocation(
                    new Request(
                            traceId,
                            requestClass,
                            plan,
                            customer,
                            takenAt
                                    + patience(wait)
                                    + (body.flow() == null
                                            ? 0
                                            : Pace.longest(body.flow().length())),
                            quota.units(),
                            quota.spread(),
                            quota.first(),
                            secondTry != null && "1".equals(secondTry.getValue())),
                    repeat == Repeat.SAFE,
                    new Message(
                            request.getMethod(),
                            request.getPath(),
                            traceId,
                            contentType(request),
                            body,
                            patience(wait)),
                    reply);
            return Read.of(invocation, new Event.InvocationTaken(invocation), home);
        } catch (BadHeader e) {
            return refused(400, e.getMessage());
        }
    }

    /** How long a request may take after its last byte, in microseconds; 0 where that makes no sense. */
    static long patience(HttpRequest request) {
        try {
            return patience(number(request, "X-Expires-In-Ms", MOST_MILLIS) * 1000);
        } catch (BadHeader e) {
            return 0;
        }
    }

    private static long patience(long wait) {
        return Math.max(0, wait - ON_THE_WAY);
    }

    private static Read refused(int status, String problem) {
        return Read.refused(Response.text(status, problem));
    }

    static String contentType(HttpRequest request) {
        Header type = request.getFirstHeader("Content-Type");
        return type == null ? null : type.getValue();
    }

    /** What is not plain would reach the provider as something else. */
    static boolean plain(String path) {
        return path.startsWith("/") && path.chars().allMatch(c -> c > ' ' && c < 0x7F && c != '#');
    }

    static String className(String path) {
        int end = 1;
        while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
            end++;
        }
        return path.isEmpty() ? "" : path.substring(1, end);
    }

    static String text(HttpRequest request, String name) throws BadHeader {
        Header header = request.getFirstHeader(name);
        if (header == null || header.getValue() == null || header.getValue().isEmpty()) {
            throw new BadHeader(name + " is missing");
        }
        if (request.countHeaders(name) > 1) {
            throw new BadHeader(name + " is repeated"); // which of them counts would be a guess
        }
        return header.getValue();
    }

    static String hex(HttpRequest request, String name) throws BadHeader {
        String value = text(request, name);
        boolean good = value.length() == HEX_DIGITS;
        for (int i = 0; good && i < HEX_DIGITS; i++) {
            good = HexFormat.isHexDigit(value.charAt(i)); // Character.digit knows digits of all scripts
        }
        if (!good) {
            throw new BadHeader(name + " is not 16 hex digits");
        }
        return value;
    }

    static long number(HttpRequest request, String name, long most) throws BadHeader {
        long value = whole(text(request, name), most);
        if (value < 0) {
            throw new BadHeader(name + " is not a whole number from 0 to " + most);
        }
        return value;
    }

    /** A whole number in plain digits, or -1; the library's readers also take signs and other scripts. */
    private static long whole(String text, long most) {
        return DIGITS.matcher(text).matches() && Long.parseLong(text) <= most ? Long.parseLong(text) : -1;
    }

    /** A decimal number in plain digits, or -1. */
    static double units(String text) {
        return DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : -1;
    }

    /** What {@code X-Quota} says; fields that we do not know are passed over. */
    private record Quota(double units, int spread, int first) {}

    private Quota quota(String header) throws BadHeader {
        Map<String, String> fields = new HashMap<>();
        for (String field : header.split(",", -1)) {
            String[] pair = field.trim().split("=", 2);
            if (fields.put(pair[0], pair[pair.length - 1]) != null) {
                throw new BadHeader("X-Quota tells " + pair[0] + " twice");
            }
        }
        String told = fields.getOrDefault("units", "");
        double units = units(told);
        if (!(units > 0)) {
            throw new BadHeader("X-Quota needs units above 0");
        }
        if (units > settings.mostUnits()) {
            throw new BadHeader("X-Quota has more units than one request may count");
        }
        int group = settings.groupSize();
        long spread = whole(fields.getOrDefault("spread", ""), group);
        long first = whole(fields.getOrDefault("first", ""), group - 1);
        if (spread < 1 || first < 0) {
            throw new BadHeader("X-Quota needs spread and first within the group of " + group);
        }
        return new Quota(units, (int) spread, (int) first);
    }
}
