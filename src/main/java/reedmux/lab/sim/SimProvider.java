package reedmux.lab.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.core.CallResult;

/** A provider as a model: some cores, a waiting room, and the ways in which it fails. */
final class SimProvider {
    /** What it does with a request just now. */
    enum Mood {
        WELL,
        GONE,
        HANGS,
        FULL,
        ERRS,
        RESETS
    }

    /** One request in work. */
    static final class Job {
        final String id;
        final Consumer<CallResult> answer;
        private boolean aborted;

        Job(String id, Consumer<CallResult> answer) {
            this.id = id;
            this.answer = answer;
        }
    }

    private static final CallResult.Answered FULL = new CallResult.Answered(503, true, null, new byte[0]);

    /** The share of its capacity that it starts with, and the time until it has all. */
    static final double COLD_FROM = 0.18;

    static final long COLD_TIME = 16_000_000;

    final String id;
    private final Timeline time;
    private final Ledger ledger;
    private final UniformRandomProvider random;
    private final int cores;
    private final int room;
    private final double meanWork;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private int busy;
    Mood mood = Mood.WELL;
    boolean draining;
    /** When its process last started, or 0 for long ago. */
    long startedAt;
    /** Requests that it has begun to run. */
    long started;

    /** {@code meanWork} in microseconds. */
    SimProvider(
            String id,
            Timeline time,
            Ledger ledger,
            UniformRandomProvider random,
            int cores,
            int room,
            double meanWork) {
        this.id = id;
        this.time = time;
        this.ledger = ledger;
        this.random = random;
        this.cores = cores;
        this.room = room;
        this.meanWork = meanWork;
    }

    /** Whether a connection comes up. */
    boolean reachable() {
        return mood != Mood.GONE;
    }

    /** A request has arrived whole; {@code broken} is run where the connection breaks under it. */
    Job take(String request, Consumer<CallResult> answer, Runnable broken) {
        Job job = new Job(request, answer);
        switch (mood) {
            case GONE -> broken.run();
            case FULL -> answer.accept(FULL);
            case HANGS -> ledger.ran(request);
            case RESETS -> {
                ledger.ran(request);
                broken.run();
            }
            case ERRS -> {
                ledger.ran(request);
                answer.accept(new CallResult.Answered(500, false, null, new byte[0]));
            }
            default -> {
                if (busy < cores) {
                    start(job);
                } else if (waiting.size() < room) {
                    waiting.add(job);
                } else {
                    answer.accept(FULL);
                }
            }
        }
        return job;
    }

    private void start(Job job) {
        busy++;
        started++;
        ledger.ran(job.id);
        // Work between a half and one and a half of the mean, as a photo is much like another.
        time.in((long) (meanWork * (0.5 + random.nextDouble()) / warmth()), () -> {
            busy--;
            if (!job.aborted && mood != Mood.GONE && mood != Mood.HANGS) {
                job.answer.accept(new CallResult.Answered(200, false, null, new byte[0]));
            }
            next();
        });
    }

    /** Starts anew: cold, and with nothing of what it had. */
    void startAnew() {
        startedAt = time.now();
        waiting.clear();
        ledger.rules.started(startedAt, id, cores * 1e6, COLD_FROM, COLD_TIME);
    }

    private double warmth() {
        double age = (double) (time.now() - startedAt) / COLD_TIME;
        return startedAt == 0 || age >= 1 ? 1 : COLD_FROM + (1 - COLD_FROM) * age;
    }

    private void next() {
        while (busy < cores && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (!job.aborted) {
                start(job);
            }
        }
    }

    /** The connection has gone: what waits is dropped, what runs goes on. */
    void abort(Job job) {
        job.aborted = true;
    }
}
