package reedmux.simulation.region;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import reedmux.gatekeeper.reducer.CallResult;

/** A model of a provider: some cores, a queue, and the ways in which it fails. Times are in microseconds. */
final class SimulatedProvider {
    /** What it does with requests at present. */
    enum ProviderBehavior {
        WELL,
        GONE,
        HANGS,
        FULL,
        ERRS,
        RESETS
    }

    /** One request that it has. */
    static final class ProviderJob {
        final String id;
        final Consumer<CallResult> answer;
        private boolean aborted;

        ProviderJob(String id, Consumer<CallResult> answer) {
            this.id = id;
            this.answer = answer;
        }
    }

    private static final CallResult.ResponseReceived FULL =
            new CallResult.ResponseReceived(503, true, null, new byte[0]);

    /** The share of its capacity that it starts with, and the time until it has all. */
    static final double COLD_CAPACITY_SHARE = 0.18;

    static final long WARM_UP_MICROS = 16_000_000;

    final String id;
    private final VirtualTimeline time;
    private final RequestLedger ledger;
    private final UniformRandomProvider random;
    private final int cores;
    private final int queueCapacity;
    private final double meanWork;
    private final Deque<ProviderJob> queue = new ArrayDeque<>();
    private int busyCores;
    ProviderBehavior behavior = ProviderBehavior.WELL;
    boolean draining;
    /** When its process last started, or 0 for long ago. */
    long startedAt;
    /** Requests that it has begun to run. */
    long executions;

    /** {@code meanWork} in microseconds. */
    SimulatedProvider(
            String id,
            VirtualTimeline time,
            RequestLedger ledger,
            UniformRandomProvider random,
            int cores,
            int room,
            double meanWork) {
        this.id = id;
        this.time = time;
        this.ledger = ledger;
        this.random = random;
        this.cores = cores;
        this.queueCapacity = room;
        this.meanWork = meanWork;
    }

    /** Whether a connection comes up. */
    boolean isReachable() {
        return behavior != ProviderBehavior.GONE;
    }

    /** A request has come in as a whole; {@code broken} is run where the connection breaks under it. */
    ProviderJob accept(String request, Consumer<CallResult> answer, Runnable broken) {
        ProviderJob job = new ProviderJob(request, answer);
        switch (behavior) {
            case GONE -> broken.run();
            case FULL -> answer.accept(FULL);
            case HANGS -> ledger.onExecuted(request);
            case RESETS -> {
                ledger.onExecuted(request);
                broken.run();
            }
            case ERRS -> {
                ledger.onExecuted(request);
                answer.accept(new CallResult.ResponseReceived(500, false, null, new byte[0]));
            }
            default -> {
                if (busyCores < cores) {
                    start(job);
                } else if (queue.size() < queueCapacity) {
                    queue.add(job);
                } else {
                    answer.accept(FULL);
                }
            }
        }
        return job;
    }

    private void start(ProviderJob job) {
        busyCores++;
        executions++;
        ledger.onExecuted(job.id);
        // Work between a half and one and a half of the mean, as a photo is much like another.
        time.in((long) (meanWork * (0.5 + random.nextDouble()) / capacityShare()), () -> {
            busyCores--;
            if (!job.aborted && behavior != ProviderBehavior.GONE && behavior != ProviderBehavior.HANGS) {
                job.answer.accept(new CallResult.ResponseReceived(200, false, null, new byte[0]));
            }
            next();
        });
    }

    /** Its process restarts: cold, and with nothing of what it had. */
    void restart() {
        startedAt = time.now();
        queue.clear();
        ledger.rules.onProviderStarted(startedAt, id, cores * 1e6, COLD_CAPACITY_SHARE, WARM_UP_MICROS);
    }

    private double capacityShare() {
        double age = (double) (time.now() - startedAt) / WARM_UP_MICROS;
        return startedAt == 0 || age >= 1 ? 1 : COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * age;
    }

    private void next() {
        while (busyCores < cores && !queue.isEmpty()) {
            ProviderJob job = queue.poll();
            if (!job.aborted) {
                start(job);
            }
        }
    }

    /** The connection was closed: what is queued is dropped, what runs goes on. */
    void abort(ProviderJob job) {
        job.aborted = true;
    }
}
