package reedmux.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import reedmux.disk.Volume;
import reedmux.log.Ring;

/**
 * One thread's sockets and timers. All that it calls runs on the thread of {@link #run()}, and only
 * {@link #execute} may be called from others. Times are microseconds of the monotonic clock.
 */
public final class Reactor implements Executor {
    private static final int CHUNK = 64 * 1024;
    private static final long QUIET = 30_000_000;
    private static final int MOST_COMPLAINTS = 200;

    /** Something to be done at a time. */
    public static final class Timer implements Comparable<Timer> {
        private final long at;
        private final long number;
        private Runnable task;

        private Timer(long at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final Environment environment;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Ring log;
    final ByteBuffer chunk = ByteBuffer.allocateDirect(CHUNK);
    /** When what was complained of last. */
    private final Map<String, Long> complaints = new HashMap<>();

    private long now;
    private long numbers;
    private volatile boolean ended;

    /** One on the machine's own sockets. */
    public Reactor(Ring log) throws IOException {
        this(log, new Kernel());
    }

    public Reactor(Ring log, Environment environment) {
        this.log = log;
        this.environment = environment;
        now = environment.now();
    }

    Environment environment() {
        return environment;
    }

    /** A number that tells one life of a process from another. */
    public long draw() {
        return environment.draw();
    }

    /** A folder on this process's disk. */
    public Volume volume(Path folder) {
        return environment.volume(folder);
    }

    /** A thread of its own, for what waits for a disk; see {@link Environment#worker}. */
    public Executor worker(String name, int most) {
        return environment.worker(name, most);
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

    public Timer at(long when, Runnable task) {
        Timer timer = new Timer(when, numbers++, task);
        timers.add(timer);
        return timer;
    }

    public Timer after(long delay, Runnable task) {
        return at(now + delay, task);
    }

    /** Does something now and then, as long as the reactor runs. */
    public void every(long pace, Runnable task) {
        after(pace, () -> {
            every(pace, task);
            task.run();
        });
    }

    /** One that hears in turns of this reactor, and whose failures end nobody else. */
    Environment.Handler guarded(Environment.Handler handler) {
        return new Environment.Handler() {
            @Override
            public void ready(boolean readable, boolean writable) {
                now = environment.now();
                try {
                    handler.ready(readable, writable);
                } catch (IOException e) {
                    failed(e);
                } catch (RuntimeException e) {
                    wrong(Failures.told(e));
                    failed(e);
                }
            }

            @Override
            public void failed(Exception cause) {
                guarded(() -> handler.failed(cause));
            }
        };
    }

    /** Writes a line for operators. */
    public void log(String line) {
        log.tell(line);
    }

    /** Keeps a line for the case that something goes wrong. */
    public void note(String line) {
        log.note(line);
    }

    /** Writes a line on what others do, of the same kind at most one in a while: they may do it often. */
    public void complain(String kind, String line) {
        Long before = complaints.get(kind);
        if (before == null && complaints.size() >= MOST_COMPLAINTS) {
            note(line);
        } else if (before == null || now - before > QUIET) {
            complaints.put(kind, now);
            log.tell(line);
        } else {
            note(line);
        }
    }

    /** Something has gone wrong: writes a line, and what was noted before. */
    public void wrong(String line) {
        log.wrong(line);
    }

    /** Ends {@link #run()} after this turn. */
    public void end() {
        ended = true;
        environment.execute(() -> {});
    }

    public boolean ended() {
        return ended;
    }

    /** Runs turns until {@link #end()}. */
    public void run() throws IOException {
        long next = turn();
        while (!ended) {
            environment.await(next);
            next = turn();
        }
        environment.close();
    }

    /** One turn: what others gave us, and what is due; returns when something is due again. */
    public long turn() {
        now = environment.now();
        for (Runnable task = environment.next(); task != null; task = environment.next()) {
            guarded(task);
        }
        while (!timers.isEmpty() && timers.peek().at <= now) {
            Runnable task = timers.poll().task;
            if (task != null) {
                guarded(task);
            }
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            wrong(Failures.told(e));
        }
    }
}
