package reedmux.gatekeeper.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The figures that operators read, from this process's start on. Each is counted where the thing happens and
 * read by whoever asks, without a lock and without waiting for any other thread. A service that has ended
 * keeps its counts, as a counter never falls.
 */
public final class Metrics {
    private static final String METRIC_PREFIX = "svc.";

    private final Map<String, ServiceMetrics> services = new ConcurrentSkipListMap<>();

    /** The counts of one class of requests; for all threads. */
    public static final class ClassMetrics {
        private static final int STATUS_OK = 200;
        private static final int STATUS_TOO_MANY_REQUESTS = 429;
        private static final int STATUS_UNAVAILABLE = 503;
        private final LongAdder success = new LongAdder();
        private final LongAdder busy = new LongAdder();
        private final LongAdder failure = new LongAdder();
        private final LongAdder started = new LongAdder();
        private final LongAdder ended = new LongAdder();

        /** A request has been taken; it is in flight until {@link #ended}. */
        public void onStarted() {
            started.increment();
        }

        /** One that was taken has ended, whoever ended it. */
        public void onEnded() {
            ended.increment();
        }

        /** A request has its final answer of this status. */
        public void onAnswered(int status) {
            (status == STATUS_OK
                            ? success
                            : status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE ? busy : failure)
                    .increment();
        }

        /** A request's answer was cut off after its head had gone out. */
        public void onResponseTruncated() {
            failure.increment();
        }

        private long inFlight() {
            long over = ended.sum(); // first, so that one that is taken meanwhile never makes it negative
            return Math.max(0, started.sum() - over);
        }
    }

    /** The figures of one service. */
    public static final class ServiceMetrics {
        private final Map<String, ClassMetrics> classes = new ConcurrentHashMap<>();
        private final LongAdder calls = new LongAdder();
        private volatile int listed;
        private volatile int down;

        /** The counts of a class, which are told from now on, be they nought. */
        public ClassMetrics forClass(String name) {
            return classes.computeIfAbsent(name, made -> new ClassMetrics());
        }

        /** A call has been written whole to a provider; for all threads. */
        public void onProviderCall() {
            calls.increment();
        }

        /** Providers in the list, and those of them that are avoided; told by one thread. */
        public void setHosts(int inList, int avoided) {
            listed = inList;
            down = avoided;
        }
    }

    /** The figures of a service; the platform's own has the empty name. */
    public ServiceMetrics forService(String name) {
        return services.computeIfAbsent(name, made -> new ServiceMetrics());
    }

    /** All of them, a line each, each line ended. */
    public String render() {
        StringBuilder text = new StringBuilder(512);
        long open = 0;
        long calls = 0;
        int listed = 0;
        int down = 0;
        for (Map.Entry<String, ServiceMetrics> service : services.entrySet()) {
            String of = service.getKey().isEmpty() ? "" : service.getKey() + '.';
            ServiceMetrics figures = service.getValue();
            for (Map.Entry<String, ClassMetrics> entry : new TreeMap<>(figures.classes).entrySet()) {
                ClassMetrics counts = entry.getValue();
                appendLine(text, "success." + of + entry.getKey(), counts.success.sum(), 'c');
                appendLine(text, "busy." + of + entry.getKey(), counts.busy.sum(), 'c');
                appendLine(text, "failure." + of + entry.getKey(), counts.failure.sum(), 'c');
                open += counts.inFlight();
            }
            calls += figures.calls.sum();
            listed += figures.listed;
            down += figures.down;
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
