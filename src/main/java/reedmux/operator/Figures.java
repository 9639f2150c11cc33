package reedmux.operator;

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
public final class Figures {
    private static final String PREFIX = "svc.";

    private final Map<String, OfService> services = new ConcurrentSkipListMap<>();

    /** The counts of one class of requests; for all threads. */
    public static final class OfClass {
        private static final int SERVED = 200;
        private static final int TOO_MANY = 429;
        private static final int UNAVAILABLE = 503;
        private final LongAdder success = new LongAdder();
        private final LongAdder busy = new LongAdder();
        private final LongAdder failure = new LongAdder();
        private final LongAdder taken = new LongAdder();
        private final LongAdder ended = new LongAdder();

        /** A request has been taken; it is in flight until {@link #ended}. */
        public void taken() {
            taken.increment();
        }

        /** One that was taken has ended, whoever ended it. */
        public void ended() {
            ended.increment();
        }

        /** A request has its final answer of this status. */
        public void answered(int status) {
            (status == SERVED ? success : status == TOO_MANY || status == UNAVAILABLE ? busy : failure).increment();
        }

        /** A request's answer was cut off after its head had gone out. */
        public void cutOff() {
            failure.increment();
        }

        private long open() {
            long over = ended.sum(); // first, so that one that is taken meanwhile never makes it negative
            return Math.max(0, taken.sum() - over);
        }
    }

    /** The figures of one service. */
    public static final class OfService {
        private final Map<String, OfClass> classes = new ConcurrentHashMap<>();
        private final LongAdder calls = new LongAdder();
        private volatile int listed;
        private volatile int down;

        /** The counts of a class, which are told from now on, be they nought. */
        public OfClass ofClass(String name) {
            return classes.computeIfAbsent(name, made -> new OfClass());
        }

        /** A call has been written whole to a provider; for all threads. */
        public void called() {
            calls.increment();
        }

        /** Providers in the list, and those of them that are avoided; told by one thread. */
        public void hosts(int inList, int avoided) {
            listed = inList;
            down = avoided;
        }
    }

    /** The figures of a service; the platform's own has the empty name. */
    public OfService service(String name) {
        return services.computeIfAbsent(name, made -> new OfService());
    }

    /** All of them, a line each, each line ended. */
    public String text() {
        StringBuilder text = new StringBuilder(512);
        long open = 0;
        long calls = 0;
        int listed = 0;
        int down = 0;
        for (Map.Entry<String, OfService> service : services.entrySet()) {
            String of = service.getKey().isEmpty() ? "" : service.getKey() + '.';
            OfService figures = service.getValue();
            for (Map.Entry<String, OfClass> entry : new TreeMap<>(figures.classes).entrySet()) {
                OfClass counts = entry.getValue();
                line(text, "success." + of + entry.getKey(), counts.success.sum(), 'c');
                line(text, "busy." + of + entry.getKey(), counts.busy.sum(), 'c');
                line(text, "failure." + of + entry.getKey(), counts.failure.sum(), 'c');
                open += counts.open();
            }
            calls += figures.calls.sum();
            listed += figures.listed;
            down += figures.down;
        }
        line(text, "backend_calls", calls, 'c');
        line(text, "inflight", open, 'g');
        line(text, "hosts_listed", listed, 'g');
        line(text, "hosts_down", down, 'g');
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value, char kind) {
        text.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
