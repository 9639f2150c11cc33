package reedmux.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import reedmux.core.Clock;
import reedmux.log.Ring;

/**
 * One thread's sockets and timers. All that it calls runs on the thread of {@link #run()}, and only
 * {@link #execute} may be called from others. Times are microseconds of the monotonic clock.
 */
public final class Reactor implements Executor {
    private static final int CHUNK = 64 * 1024;

    /** Whose channel is ready. */
    public interface Handler {
        void ready(SelectionKey key) throws IOException;

        /** Something went wrong in {@link #ready}. */
        void failed(Exception cause);
    }

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

    private final Clock clock = new Clock();
    private final Selector selector;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Ring log;
    final ByteBuffer chunk = ByteBuffer.allocateDirect(CHUNK);
    private long now = clock.now();
    private long numbers;
    private volatile boolean ended;

    public Reactor(Ring log) throws IOException {
        this.log = log;
        selector = Selector.open();
    }

    /** The time of this turn. */
    public long now() {
        return now;
    }

    /** Has something done on the reactor's thread; from any thread. */
    @Override
    public void execute(Runnable task) {
        posted.add(task);
        selector.wakeup();
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

    SelectionKey register(SelectableChannel channel, int interest, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    /** Writes a line for operators. */
    public void log(String line) {
        log.tell(line);
    }

    /** Keeps a line for the case that something goes wrong. */
    public void note(String line) {
        log.note(line);
    }

    /** Something has gone wrong: writes a line, and what was noted before. */
    public void wrong(String line) {
        log.wrong(line);
    }

    /** Ends {@link #run()} after this turn. */
    public void end() {
        ended = true;
        selector.wakeup();
    }

    /** Runs turns until {@link #end()}. */
    public void run() throws IOException {
        while (!ended) {
            long wait = timers.isEmpty() ? -1 : timers.peek().at - clock.now();
            if (!posted.isEmpty() || !timers.isEmpty() && wait <= 0) {
                selector.selectNow(this::ready);
            } else if (timers.isEmpty()) {
                selector.select(this::ready);
            } else {
                selector.select(this::ready, Math.max(1, (wait + 999) / 1000));
            }
            now = clock.now();
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                guarded(task);
            }
            while (!timers.isEmpty() && timers.peek().at <= now) {
                Runnable task = timers.poll().task;
                if (task != null) {
                    guarded(task);
                }
            }
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    private void ready(SelectionKey key) {
        now = clock.now();
        Handler handler = (Handler) key.attachment();
        try {
            if (key.isValid()) {
                handler.ready(key);
            }
        } catch (IOException | RuntimeException e) {
            if (e instanceof RuntimeException) {
                wrong(Failures.told(e));
            }
            handler.failed(e);
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            wrong(Failures.told(e));
        }
    }
}
