package reedmux.common.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;
import reedmux.common.logging.InvariantMonitor;
import reedmux.common.logging.RingBufferLogger;

/**
 * An event loop: one thread that serves sockets, timers and tasks. Every handler, timer and task runs on the thread of
 * {@link #run()}, so the state behind them needs no locks; of this class only {@link #execute} and {@link #stop} may be
 * called from other threads. An exception that escapes a callback is logged and ends nothing but that callback.
 *
 * <p>Times are microseconds of the environment's monotonic clock, read once for each turn and socket event.
 */
public final class Reactor implements Executor {
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    /** Between two warnings of one kind in the log; those in between are kept in the ring buffer only. */
    private static final long WARNING_INTERVAL_MICROS = 30_000_000;
    /** Kinds may hold text from peers, so their number is bounded; further ones go to the ring buffer only. */
    private static final int MAX_WARNING_KINDS = 200;

    /** A task that runs at a time unless it is cancelled; ordered by time, then by when it was scheduled. */
    public static final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long dueAt;
        private final long sequence;
        private Runnable task;

        private ScheduledTask(long dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        /** Drops the task; without effect once it has run. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    private final Environment environment;
    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final RingBufferLogger logger;
    private final InvariantMonitor invariants;
    /** Shared by all sockets of this thread; its content is copied out before the next read. */
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    /** By kind of warning, in microseconds. */
    private final Map<String, Long> lastWarningAt = new HashMap<>();

    private long now;
    private long nextTaskSequence;
    private volatile boolean stopped;

    /** A reactor on the operating system's sockets, files and clock. */
    public Reactor(RingBufferLogger logger) throws IOException {
        this(logger, new NioEnvironment());
    }

    /** A reactor in an environment of its own, as tests and the simulation have it. */
    public Reactor(RingBufferLogger logger, Environment environment) {
        this.logger = logger;
        invariants = new InvariantMonitor(logger);
        this.environment = environment;
        now = environment.now();
    }

    Environment environment() {
        return environment;
    }

    /** A number that tells one incarnation of a process from another. */
    public long newIncarnationId() {
        return environment.newIncarnationId();
    }

    /** The files below a directory; see {@link Environment#volume}. */
    public Volume volume(Path folder) {
        return environment.volume(folder);
    }

    /** A thread of its own for tasks that block on a disk; see {@link Environment#newWorker}. */
    public Executor newWorker(String name, int capacity) {
        return environment.newWorker(name, capacity);
    }

    /** The time of the current turn or socket event, in microseconds; it does not advance within one. */
    public long now() {
        return now;
    }

    /** Runs a task in a later turn; may be called from any thread. */
    @Override
    public void execute(Runnable task) {
        environment.execute(task);
    }

    /** Runs a task at a time, in microseconds of {@link #now()}; one in the past runs in the next turn. */
    public ScheduledTask scheduleAt(long dueAt, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(dueAt, nextTaskSequence++, task);
        timers.add(scheduled);
        return scheduled;
    }

    /** Runs a task after a delay in microseconds. */
    public ScheduledTask scheduleAfter(long delayMicros, Runnable task) {
        return scheduleAt(now + delayMicros, task);
    }

    /**
     * Runs a task again and again until the reactor stops. The interval, in microseconds, counts from the turn of the
     * run before; a turn that was late is not made up for.
     */
    public void scheduleEvery(long intervalMicros, Runnable task) {
        scheduleAfter(intervalMicros, () -> {
            scheduleEvery(intervalMicros, task);
            task.run();
        });
    }

    /** Wraps a handler so that it sees the current time and its exceptions reach {@code onFailure} only. */
    Environment.ReadinessHandler guard(Environment.ReadinessHandler handler) {
        return new Environment.ReadinessHandler() {
            @Override
            public void onReady(boolean readable, boolean writable) {
                now = environment.now();
                try {
                    handler.onReady(readable, writable);
                } catch (IOException e) {
                    onFailure(e);
                } catch (RuntimeException e) {
                    error(StackTraces.format(e));
                    onFailure(e);
                }
            }

            @Override
            public void onFailure(Exception cause) {
                runGuarded(() -> handler.onFailure(cause));
            }
        };
    }

    /** Where this process checks what must always hold. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /** Logs a line for operators. */
    public void info(String line) {
        logger.info(line);
    }

    /** Keeps a line in the ring buffer; it is written only if an error follows. */
    public void debug(String line) {
        logger.debug(line);
    }

    /**
     * Logs a line about a peer's behaviour, at most one of a kind each {@value #WARNING_INTERVAL_MICROS} microseconds,
     * as a peer may repeat it at will. The others go to the ring buffer.
     */
    public void warnRateLimited(String kind, String line) {
        Long before = lastWarningAt.get(kind);
        if (before == null && lastWarningAt.size() >= MAX_WARNING_KINDS) {
            debug(line);
        } else if (before == null || now - before > WARNING_INTERVAL_MICROS) {
            lastWarningAt.put(kind, now);
            logger.info(line);
        } else {
            debug(line);
        }
    }

    /** Logs an error, preceded by the lines of the ring buffer. */
    public void error(String line) {
        logger.error(line);
    }

    /** Ends {@link #run()} after the current turn; may be called from any thread. */
    public void stop() {
        stopped = true;
        environment.execute(() -> {}); // wakes it up
    }

    /** Whether {@link #stop()} was called. */
    public boolean isStopped() {
        return stopped;
    }

    /** Serves events on the calling thread until {@link #stop()}, then closes all sockets. */
    public void run() throws IOException {
        long next = runOnce();
        while (!stopped) {
            environment.awaitReadiness(next);
            next = runOnce();
        }
        environment.close();
    }

    /**
     * One turn: runs the tasks of {@link #execute} and the timers that are due.
     *
     * @return when the next timer is due, or {@link Long#MAX_VALUE} if there is none
     */
    public long runOnce() {
        now = environment.now();
        for (Runnable task = environment.pollTask(); task != null; task = environment.pollTask()) {
            runGuarded(task);
        }
        while (!timers.isEmpty() && timers.peek().dueAt <= now) {
            Runnable task = timers.poll().task;
            if (task != null) {
                runGuarded(task);
            }
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            error(StackTraces.format(e));
        }
    }
}
