package reedmux.gatekeeper.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The metrics that operators read, since the start of this process. They are counted where things happen and read
 * without a lock. A service that has ended keeps its counts, since a counter never decreases.
 */
public final class Metrics {
    private static final String METRIC_PREFIX = "svc.";

    private final Map<String, ServiceMetrics> services = new ConcurrentSkipListMap<>();

    /** The counters of one request class; for all threads. */
    public static final class ClassMetrics {
        private static final int STATUS_OK = 200;
        private static final int STATUS_TOO_MANY_REQUESTS = 429;
        private static final int STATUS_UNAVAILABLE = 503;
        private final LongAdder success = new LongAdder();
        private final LongAdder busy = new LongAdder();
        private final LongAdder failure = new LongAdder();
        private final LongAdder started = new LongAdder();
        private final LongAdder ended = new LongAdder();

        /** A request is in flight from now on, until {@link #onEnded}. */
        public void onStarted() {
            started.increment();
        }

        /** A request that was in flight has ended. */
        public void onEnded() {
            ended.increment();
        }

        /** A request has got its response. */
        public void onAnswered(int status) {
            (status == STATUS_OK
                            ? success
                            : status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE ? busy : failure)
                    .increment();
        }

        /** A response was truncated after its head had been written. */
        public void onResponseTruncated() {
            failure.increment();
        }

        private long inFlight() {
            long alreadyEnded = ended.sum(); // read first, so that the difference is not negative
            return Math.max(0, started.sum() - alreadyEnded);
        }
    }

    /** The metrics of one service. */
    public static final class ServiceMetrics {
        private final Map<String, ClassMetrics> classes = new ConcurrentHashMap<>();
        private final LongAdder providerCalls = new LongAdder();
        private volatile int listedHosts;
        private volatile int ejectedHosts;

        /** The counters of a class, which are listed from now on even if they are 0. */
        public ClassMetrics forClass(String name) {
            return classes.computeIfAbsent(name, made -> new ClassMetrics());
        }

        /** A call has been written to a provider; for all threads. */
        public void onProviderCall() {
            providerCalls.increment();
        }

        /** Sets how many providers are listed, and how many of them are ejected; for one thread. */
        public void setHosts(int listed, int ejected) {
            listedHosts = listed;
            ejectedHosts = ejected;
        }
    }

    /** The metrics of a service; the platform's own has the empty name. */
    public ServiceMetrics forService(String name) {
        return services.computeIfAbsent(name, made -> new ServiceMetrics());
    }

    /** All metrics, a terminated line each. */
    public String render() {
        StringBuilder text = new StringBuilder(512);
        long open = 0;
        long calls = 0;
        int listed = 0;
        int down = 0;
        for (Map.Entry<String, ServiceMetrics> service : services.entrySet()) {
            String prefix = service.getKey().isEmpty() ? "" : service.getKey() + '.';
            ServiceMetrics metrics = service.getValue();
            for (Map.Entry<String, ClassMetrics> entry : new TreeMap<>(metrics.classes).entrySet()) {
                ClassMetrics counts = entry.getValue();
                appendLine(text, "success." + prefix + entry.getKey(), counts.success.sum(), 'c');
                appendLine(text, "busy." + prefix + entry.getKey(), counts.busy.sum(), 'c');
                appendLine(text, "failure." + prefix + entry.getKey(), counts.failure.sum(), 'c');
                open += counts.inFlight();
            }
            calls += metrics.providerCalls.sum();
            listed += metrics.listedHosts;
            down += metrics.ejectedHosts;
        }
        appendLine(text, "backend_calls", calls, 'c');
        appendLine(text, "inflight", open, 'g');
        appendLine(text, "hosts_listed", listed, 'g');
        appendLine(text, "hosts_down", down, 'g');
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value, char kind) {
        text.append(METRIC_PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
