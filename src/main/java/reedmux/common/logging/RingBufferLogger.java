package reedmux.common.logging;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A logger that keeps its latest debug lines in memory and writes them only when an error follows, so that detailed
 * logging costs little in normal operation. Lines for operators are written immediately ({@link #info}). Thread-safe.
 *
 * <p>Log4j 2 is not used because it would slow down startup too much: even with a class archive, its API alone takes
 * 0.16 s of CPU time and its core 0.40 s, on machines with half a core on which the whole program takes 0.2 s.
 */
public final class RingBufferLogger {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private final int capacity;
    private final String name;
    private final Consumer<String> sink;
    private final LongSupplier nanoClock;
    private final long startNanos;
    private final Deque<String> buffered = new ArrayDeque<>();
    private long dropped;

    /**
     * Creates a logger with an empty buffer.
     *
     * @param name      the first word of each line
     * @param capacity  the number of debug lines that are kept; older ones are dropped and counted
     * @param sink      receives the written lines on the thread that logs
     * @param nanoClock a monotonic clock in nanoseconds; lines are stamped with the time since the logger was created
     */
    public RingBufferLogger(String name, int capacity, Consumer<String> sink, LongSupplier nanoClock) {
        this.name = name;
        this.capacity = capacity;
        this.sink = sink;
        this.nanoClock = nanoClock;
        startNanos = nanoClock.getAsLong();
    }

    private String timestamped(String line) {
        return name + ' ' + (nanoClock.getAsLong() - startNanos) / NANOS_PER_MILLI + "ms " + line;
    }

    /** Buffers a line until an error writes it or newer lines replace it. */
    public synchronized void debug(String line) {
        buffered.add(timestamped(line));
        if (buffered.size() > capacity) {
            buffered.poll();
            dropped++;
        }
    }

    /** Writes a line immediately. */
    public synchronized void info(String line) {
        sink.accept(timestamped(line));
    }

    /** Writes and clears the buffered lines, then writes the given line. */
    public synchronized void error(String line) {
        if (dropped > 0) {
            sink.accept(name + " (" + dropped + " earlier lines were dropped)");
        }
        buffered.forEach(sink);
        buffered.clear();
        dropped = 0;
        sink.accept(timestamped(line));
    }
}
