package reedmux.common.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import reedmux.common.disk.Volume;
import reedmux.common.logging.RingBufferLogger;

/**
 * One thread's sockets and timers. All that it calls runs on the thread of {@link #run()}, and only
 * {@link #execute} may be called from others. Times are microseconds of the monotonic clock.
 */
public final class Reactor implements Executor {
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final long WARNING_INTERVAL_MICROS = 30_000_000;
    private static final int MAX_WARNING_KINDS = 200;

    /** Something to be done at a time. */
    public static final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long dueAt;
        private final long sequence;
        private Runnable task;

        private ScheduledTask(long at, long number, Runnable task) {
            this.dueAt = at;
            this.sequence = number;
            this.task = task;
        }

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
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    /** When what was complained of last. */
    private final Map<String, Long> lastWarningAt = new HashMap<>();

    private long now;
    private long nextTaskSequence;
    private volatile boolean stopped;

    /** One on the machine's own sockets. */
    public Reactor(RingBufferLogger log) throws IOException {
        this(log, new NioEnvironment());
    }

    public Reactor(RingBufferLogger log, Environment environment) {
        this.logger = log;
        this.environment = environment;
        now = environment.now();
    }

    Environment environment() {
        return environment;
    }

    /** A number that tells one life of a process from another. */
    public long newIncarnationId() {
        return environment.newIncarnationId();
    }

    /** A folder on this process's disk. */
    public Volume volume(Path folder) {
        return environment.volume(folder);
    }

    /** A thread of its own, for what waits for a disk; see {@link Environment#newWorker}. */
    public Executor newWorker(String name, int most) {
        return environment.newWorker(name, most);
    }

    /** The time of this turn. */
    public long now() {
        return now;
    }

    /** Has something done on the reactor's thread; from any thread. */
    @Override
    public void execute(Runnable task) {
        environment.execute(task);
    }

    public ScheduledTask scheduleAt(long when, Runnable task) {
        ScheduledTask timer = new ScheduledTask(when, nextTaskSequence++, task);
        timers.add(timer);
        return timer;
    }

    public ScheduledTask scheduleAfter(long delay, Runnable task) {
        return scheduleAt(now + delay, task);
    }

    /** Does something now and then, as long as the reactor runs. */
    public void scheduleEvery(long pace, Runnable task) {
        scheduleAfter(pace, () -> {
            scheduleEvery(pace, task);
            task.run();
        });
    }

    /** One that hears in turns of this reactor, and whose failures end nobody else. */
    Environment.ReadinessHandler guarded(Environment.ReadinessHandler handler) {
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
                guarded(() -> handler.onFailure(cause));
            }
        };
    }

    /** Writes a line for operators. */
    public void info(String line) {
        logger.info(line);
    }

    /** Keeps a line for the case that something goes wrong. */
    public void debug(String line) {
        logger.debug(line);
    }

    /** Writes a line on what others do, of the same kind at most one in a while: they may do it often. */
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

    /** Something has gone wrong: writes a line, and what was noted before. */
    public void error(String line) {
        logger.error(line);
    }

    /** Ends {@link #run()} after this turn. */
    public void stop() {
        stopped = true;
        environment.execute(() -> {});
    }

    public boolean isStopped() {
        return stopped;
    }

    /** Runs turns until {@link #stop()}. */
    public void run() throws IOException {
        long next = runOnce();
        while (!stopped) {
            environment.awaitReadiness(next);
            next = runOnce();
        }
        environment.close();
    }

    /** One turn: what others gave us, and what is due; returns when something is due again. */
    public long runOnce() {
        now = environment.now();
        for (Runnable task = environment.pollTask(); task != null; task = environment.pollTask()) {
            guarded(task);
        }
        while (!timers.isEmpty() && timers.peek().dueAt <= now) {
            Runnable task = timers.poll().task;
            if (task != null) {
                guarded(task);
            }
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            error(StackTraces.format(e));
        }
    }
}
