package reedmux.gatekeeper.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The metrics that operators read, counted since the start of this process. Updates and reads take no lock. The
 * counters of a service are kept after it has been removed, because a counter must never decrease.
 */
public final class Metrics {
    private static final String METRIC_PREFIX = "svc.";

    private final Map<String, ServiceMetrics> services = new ConcurrentSkipListMap<>();

    /** The counters of one request class. Thread-safe. */
    public static final class ClassMetrics {
        private static final int STATUS_OK = 200;
        private static final int STATUS_TOO_MANY_REQUESTS = 429;
        private static final int STATUS_UNAVAILABLE = 503;
        private final LongAdder success = new LongAdder();
        private final LongAdder busy = new LongAdder();
        private final LongAdder failure = new LongAdder();
        private final LongAdder started = new LongAdder();
        private final LongAdder ended = new LongAdder();

        /** Counts a request as in flight until {@link #onEnded}. */
        public void onStarted() {
            started.increment();
        }

        /** Reports that a request is no longer in flight. */
        public void onEnded() {
            ended.increment();
        }

        /**
         * Counts a response. Status 200 counts as a success, 429 and 503 count as busy, and any other status counts as
         * a failure.
         */
        public void onAnswered(int status) {
            (status == STATUS_OK
                            ? success
                            : status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE ? busy : failure)
                    .increment();
        }

        /** Counts a failure: a response was truncated after its head had been written. */
        public void onResponseTruncated() {
            failure.increment();
        }

        private long inFlight() {
            long alreadyEnded = ended.sum(); // read before the started requests, so that the difference is not negative
            return Math.max(0, started.sum() - alreadyEnded);
        }
    }

    /** The metrics of one service. */
    public static final class ServiceMetrics {
        private final Map<String, ClassMetrics> classes = new ConcurrentHashMap<>();
        private final LongAdder providerCalls = new LongAdder();
        private volatile int listedHosts;
        private volatile int ejectedHosts;

        /** Returns the counters of a class. From the first call on they are rendered, even while they are 0. */
        public ClassMetrics forClass(String name) {
            return classes.computeIfAbsent(name, key -> new ClassMetrics());
        }

        /** Counts a call that was written to a provider. Thread-safe. */
        public void onProviderCall() {
            providerCalls.increment();
        }

        /** Sets how many providers are listed and how many of them are ejected. Called by a single thread. */
        public void setHosts(int listed, int ejected) {
            listedHosts = listed;
            ejectedHosts = ejected;
        }
    }

    /** Returns the metrics of a service; the name of the platform's own service is empty. */
    public ServiceMetrics forService(String name) {
        return services.computeIfAbsent(name, key -> new ServiceMetrics());
    }

    /** Renders all metrics as one line each, every line ending with a line feed. */
    public String render() {
        StringBuilder text = new StringBuilder(512);
        long inFlight = 0;
        long providerCalls = 0;
        int listedHosts = 0;
        int ejectedHosts = 0;
        for (Map.Entry<String, ServiceMetrics> service : services.entrySet()) {
            String prefix = service.getKey().isEmpty() ? "" : service.getKey() + '.';
            ServiceMetrics metrics = service.getValue();
            for (Map.Entry<String, ClassMetrics> entry : new TreeMap<>(metrics.classes).entrySet()) {
                ClassMetrics counts = entry.getValue();
                appendLine(text, "success." + prefix + entry.getKey(), counts.success.sum(), 'c');
                appendLine(text, "busy." + prefix + entry.getKey(), counts.busy.sum(), 'c');
                appendLine(text, "failure." + prefix + entry.getKey(), counts.failure.sum(), 'c');
                inFlight += counts.inFlight();
            }
            providerCalls += metrics.providerCalls.sum();
            listedHosts += metrics.listedHosts;
            ejectedHosts += metrics.ejectedHosts;
        }
        appendLine(text, "backend_calls", providerCalls, 'c');
        appendLine(text, "inflight", inFlight, 'g');
        appendLine(text, "hosts_listed", listedHosts, 'g');
        appendLine(text, "hosts_down", ejectedHosts, 'g');
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
