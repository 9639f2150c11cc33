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
 * A single-threaded event loop that serves sockets, timers and tasks. Every handler, timer and task runs on the thread
 * of {@link #run()}, so their state needs no locks. Only {@link #execute} and {@link #stop} may be called from other
 * threads. A runtime exception or an error that a callback throws is logged and does not stop the event loop: the
 * connection that caused it fails, and all others continue. After each callback the {@link #bufferBudget()} is
 * enforced.
 *
 * <p>Times are microseconds of the environment's monotonic clock, which is read once for each iteration and socket
 * event.
 */
public final class Reactor implements Executor {
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    /**
     * Minimum interval between two logged warnings of the same kind, in microseconds. Warnings in between go to the
     * ring buffer only.
     */
    private static final long WARNING_INTERVAL_MICROS = 30_000_000;
    /**
     * Limits the number of warning kinds that are tracked, because a kind may contain text from peers. Warnings of
     * further kinds go to the ring buffer only.
     */
    private static final int MAX_WARNING_KINDS = 200;
    /**
     * Fraction of the process's memory for all buffers that peers can make grow. The rest is for the program's own
     * state, and for what one event allocates before the budget is enforced.
     */
    private static final double BUFFER_MEMORY_FRACTION = 0.4;

    /**
     * Number of cancelled tasks from which on they are removed from {@link #timers} as soon as they are the majority.
     */
    private static final int MIN_PURGED_TASKS = 64;

    /** A task that runs at a given time unless it is cancelled. Tasks are ordered by due time, then by creation. */
    public final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long dueAt;
        private final long sequence;
        private Runnable task;

        private ScheduledTask(long dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task and releases what it refers to; has no effect once the task has run. */
        public void cancel() {
            if (task != null) {
                task = null;
                cancelledTasks++;
                purgeCancelledTasks();
            }
        }

        private boolean isCancelled() {
            return task == null;
        }

        /** Returns the task, or null if it was cancelled, and releases it. */
        private Runnable take() {
            Runnable taken = task;
            task = null;
            return taken;
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
    /** Read buffer shared by all sockets of this reactor; its content is copied out before the next read. */
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    /** Time of the last logged warning in microseconds, by kind. */
    private final Map<String, Long> lastWarningAt = new HashMap<>();

    private final BufferBudget bufferBudget;
    private boolean enforcingBudget;
    /** Number of errors that callbacks have thrown. */
    private long errors;

    private long now;
    private long nextTaskSequence;
    /** Number of cancelled tasks that are still in {@link #timers}. */
    private int cancelledTasks;

    private volatile boolean stopped;

    /** Creates a reactor on the operating system's sockets, files and clock. */
    public Reactor(RingBufferLogger logger) throws IOException {
        this(logger, new NioEnvironment());
    }

    /** Creates a reactor on the given environment, which tests and the simulation provide. */
    public Reactor(RingBufferLogger logger, Environment environment) {
        this.logger = logger;
        invariants = new InvariantMonitor(logger);
        this.environment = environment;
        bufferBudget = new BufferBudget((long) (BUFFER_MEMORY_FRACTION * environment.maxMemoryBytes()));
        now = environment.now();
    }

    Environment environment() {
        return environment;
    }

    /** Returns the budget of all buffers of this process that peers can make grow. */
    public BufferBudget bufferBudget() {
        return bufferBudget;
    }

    /** Returns a number that distinguishes one incarnation of a process from another. */
    public long newIncarnationId() {
        return environment.newIncarnationId();
    }

    /** Returns the volume that stores its files below a directory; see {@link Environment#volume}. */
    public Volume volume(Path folder) {
        return environment.volume(folder);
    }

    /** Creates a single-threaded executor for tasks that block on a disk; see {@link Environment#newWorker}. */
    public Executor newWorker(String name, int capacity) {
        return environment.newWorker(name, capacity);
    }

    /** Returns the time at which the current iteration or socket event began, in microseconds. */
    public long now() {
        return now;
    }

    /** Runs a task in a later iteration of the event loop; may be called from any thread. */
    @Override
    public void execute(Runnable task) {
        environment.execute(task);
    }

    /**
     * Runs a task at a given time, in microseconds of {@link #now()}. If that time has passed, the task runs in the
     * next iteration of the event loop.
     */
    public ScheduledTask scheduleAt(long dueAt, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(dueAt, nextTaskSequence++, task);
        timers.add(scheduled);
        return scheduled;
    }

    /** Runs a task after a delay in microseconds. */
    public ScheduledTask scheduleAfter(long delayMicros, Runnable task) {
        return scheduleAt(now + delayMicros, task);
    }

    /** Returns the number of tasks that are scheduled, including cancelled ones that were not removed yet. */
    public int scheduledTaskCount() {
        return timers.size();
    }

    /**
     * Removes the cancelled tasks once they are the majority, so that the memory and the time for cancelled tasks stay
     * proportional to those for scheduled ones, however far in the future they are due.
     */
    private void purgeCancelledTasks() {
        if (cancelledTasks >= MIN_PURGED_TASKS && cancelledTasks > timers.size() / 2) {
            timers.removeIf(ScheduledTask::isCancelled);
            cancelledTasks = 0;
        }
    }

    /**
     * Runs a task periodically until the reactor stops. The interval, in microseconds, is measured from the iteration
     * that ran the task last; runs that are late are not caught up.
     */
    public void scheduleEvery(long intervalMicros, Runnable task) {
        scheduleAfter(intervalMicros, () -> {
            scheduleEvery(intervalMicros, task);
            task.run();
        });
    }

    /**
     * Wraps a handler so that {@link #now()} is updated before each event, and so that exceptions of the handler are
     * passed to its {@code onFailure} instead of leaving the event loop.
     */
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
                } catch (VirtualMachineError | LinkageError e) {
                    onError(e);
                    onFailure(new IOException(
                            "its handler has failed: " + e.getClass().getName()));
                }
                enforceBufferBudget();
            }

            @Override
            public void onFailure(Exception cause) {
                runGuarded(() -> handler.onFailure(cause));
            }
        };
    }

    /** Returns the monitor that checks the invariants of this process. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /** Writes a line to the log for operators. */
    public void info(String line) {
        logger.info(line);
    }

    /** Stores a line in the ring buffer, which is written to the log only if an error follows. */
    public void debug(String line) {
        logger.debug(line);
    }

    /**
     * Logs a warning about a peer's behaviour. At most one warning of each kind is logged per
     * {@value #WARNING_INTERVAL_MICROS} microseconds, because a peer can cause any number of them. The others go to the
     * ring buffer.
     */
    public void warnRateLimited(String kind, String line) {
        Long lastLoggedAt = lastWarningAt.get(kind);
        if (lastLoggedAt == null && lastWarningAt.size() >= MAX_WARNING_KINDS) {
            debug(line);
        } else if (lastLoggedAt == null || now - lastLoggedAt > WARNING_INTERVAL_MICROS) {
            lastWarningAt.put(kind, now);
            logger.info(line);
        } else {
            debug(line);
        }
    }

    /** Logs an error after the lines of the ring buffer. */
    public void error(String line) {
        logger.error(line);
    }

    /** Makes {@link #run()} return after the current iteration; may be called from any thread. */
    public void stop() {
        stopped = true;
        environment.execute(() -> {}); // wakes up awaitReadiness
    }

    /** Returns whether {@link #stop()} was called. */
    public boolean isStopped() {
        return stopped;
    }

    /** Serves events on the calling thread until {@link #stop()} is called, then closes all sockets. */
    public void run() throws IOException {
        long nextDueAt = runOnce();
        while (!stopped) {
            environment.awaitReadiness(nextDueAt);
            nextDueAt = runOnce();
        }
        environment.close();
    }

    /**
     * Runs one iteration of the event loop: the tasks submitted to {@link #execute}, then the timers that are due.
     *
     * @return the time at which the next timer is due, in microseconds, or {@link Long#MAX_VALUE} if there is none
     */
    public long runOnce() {
        now = environment.now();
        for (Runnable task = environment.pollTask(); task != null; task = environment.pollTask()) {
            runGuarded(task);
        }
        while (!timers.isEmpty() && timers.peek().dueAt <= now) {
            Runnable task = timers.poll().take();
            if (task == null) {
                cancelledTasks--;
            } else {
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
        } catch (VirtualMachineError | LinkageError e) {
            onError(e);
        }
        enforceBufferBudget();
    }

    /**
     * Reports an error that a callback has thrown. One request may cause it, for example by text that is nested too
     * deeply, so it must not end the work of all others.
     */
    private void onError(Error error) {
        errors++;
        try {
            invariants.check(
                    false,
                    "no callback throws an error",
                    () -> errors + " since the start, the last one is " + StackTraces.format(error));
        } catch (OutOfMemoryError e) {
            errors++; // nothing can be logged at the moment; the next error reports the number
        }
    }

    private void enforceBufferBudget() {
        if (enforcingBudget || bufferBudget.totalBytes() <= bufferBudget.limitBytes()) {
            return;
        }
        enforcingBudget = true;
        try {
            releaseLargestBuffers();
        } catch (RuntimeException e) {
            error(StackTraces.format(e));
        } finally {
            enforcingBudget = false;
        }
    }

    private void releaseLargestBuffers() {
        long exceeded = bufferBudget.totalBytes();
        int released = bufferBudget.enforce();
        warnRateLimited(
                "buffers",
                exceeded + " bytes are buffered, " + bufferBudget.limitBytes() + " are allowed; the largest " + released
                        + " were released, " + bufferBudget.releasedOwners() + " since the start");
    }
}
