package reedmux.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Settings;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.core.Clock;
import reedmux.core.Invocation;

/** Reads what the headers say of a request, and says plainly what is wrong with one. */
public final class RequestReader {
    private static final long MOST_CUSTOMERS = 1L << 33;
    private static final long MOST_MILLIS = 3_600_000;
    private static final int HEX_DIGITS = 16;
    /**
     * The deadline runs from when the consumer sent the request, a little before we took it: this much is
     * taken off, and leaves time for the answer's way back.
     */
    private static final long ON_THE_WAY = 2_000;

    /** An invocation, or the status and the reason of its absence. */
    record Result(Invocation invocation, int status, String problem) { }

    /** A header that is missing or makes no sense. */
    private static final class BadHeader extends Exception {
        private static final long serialVersionUID = 1;

        BadHeader(String message) {
            super(message, null, false, false);
        }
    }

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final Settings settings;
    private final Clock clock;

    public RequestReader(Settings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
        List<RequestClass> kinds = settings.classes();
        for (int i = 0; i < kinds.size(); i++) {
            classes.put(kinds.get(i).name(), i);
        }
        List<Plan> told = settings.plans();
        for (int i = 0; i < told.size(); i++) {
            plans.put(told.get(i).name(), i);
        }
    }

    long now() {
        return clock.now();
    }

    Result read(HttpRequest request, byte[] body, long takenAt, Invocation.Reply reply) {
        Integer requestClass = classes.get(className(request.getPath()));
        if (requestClass == null) {
            return new Result(null, 404, "no such class");
        }
        Repeat repeat = settings.classes().get(requestClass).repeat();
        if (!request.getMethod().equals(repeat == Repeat.SAFE ? "GET" : "POST")) {
            return new Result(null, 405, "the class does not take this method");
        }
        try {
            if (request.containsHeader("Content-Length") && body.length == 0) {
                number(request, "Content-Length", Long.MAX_VALUE); // a bad one came through as no body
            }
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
            Header type = request.getFirstHeader("Content-Type");
            return new Result(new Invocation(new Request(traceId, requestClass, plan, customer,
                    takenAt + Math.max(0, wait - ON_THE_WAY), quota.units, quota.spread, quota.first,
                    secondTry != null && "1".equals(secondTry.getValue())), repeat == Repeat.SAFE,
                    new Message(request.getMethod(), request.getPath(), traceId,
                            type == null ? null : type.getValue(), body), reply), 200, null);
        } catch (BadHeader e) {
            return new Result(null, 400, e.getMessage());
        }
    }

    private static String className(String path) {
        int end = 1;
        while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
            end++;
        }
        return path.isEmpty() ? "" : path.substring(1, end);
    }

    private static String text(HttpRequest request, String name) throws BadHeader {
        Header header = request.getFirstHeader(name);
        if (header == null || header.getValue() == null || header.getValue().isEmpty()) {
            throw new BadHeader(name + " is missing");
        }
        return header.getValue();
    }

    private static String hex(HttpRequest request, String name) throws BadHeader {
        String value = text(request, name);
        boolean good = value.length() == HEX_DIGITS;
        for (int i = 0; good && i < HEX_DIGITS; i++) {
            good = Character.digit(value.charAt(i), HEX_DIGITS) >= 0;
        }
        if (!good) {
            throw new BadHeader(name + " is not 16 hex digits");
        }
        return value;
    }

    private static long number(HttpRequest request, String name, long most) throws BadHeader {
        try {
            long value = Long.parseLong(text(request, name));
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, like a number out of range
        }
        throw new BadHeader(name + " is not a whole number from 0 to " + most);
    }

    /** What {@code X-Quota} says; fields that we do not know are passed over. */
    private static final class Quota {
        double units = -1;
        int spread = -1;
        int first = -1;
    }

    private Quota quota(String header) throws BadHeader {
        Quota quota = new Quota();
        try {
            for (String field : header.split(",")) {
                String[] pair = field.trim().split("=", 2);
                switch (pair[0]) {
                    case "units" -> quota.units = Double.parseDouble(pair[pair.length - 1]);
                    case "spread" -> quota.spread = Integer.parseInt(pair[pair.length - 1]);
                    case "first" -> quota.first = Integer.parseInt(pair[pair.length - 1]);
                    default -> { }
                }
            }
        } catch (NumberFormatException e) {
            throw new BadHeader("X-Quota holds something that is not a number");
        }
        if (!(quota.units > 0) || Double.isInfinite(quota.units)) {
            throw new BadHeader("X-Quota needs units above 0");
        }
        int group = settings.groupSize();
        if (quota.spread < 1 || quota.spread > group || quota.first < 0 || quota.first >= group) {
            throw new BadHeader("X-Quota needs spread and first within the group of " + group);
        }
        return quota;
    }
}
