package reedmux.gatekeeper.policy;

/**
 * Moving averages of the traffic that this gateway sends: requests per second, and work per second at each warm server.
 */
final class SendRate {
    private static final double SECOND = PolicyContext.MICROS_PER_SECOND;
    /** Decay time constant of both averages. */
    private static final double DECAY_MICROS = 5 * SECOND;

    private final PolicyContext context;
    private double requestsPerSecond;
    private double workPerSecond;
    private long updatedAt;

    SendRate(PolicyContext context) {
        this.context = context;
    }

    /** Records an attempt that is sent now. */
    void onSent() {
        double decay = StrictMath.exp(-(context.now - updatedAt) / DECAY_MICROS);
        updatedAt = context.now;
        workPerSecond *= decay;
        requestsPerSecond = requestsPerSecond * decay + SECOND / DECAY_MICROS;
    }

    /** Adds the work of the attempt just sent, in microseconds, divided among the warm servers. */
    void onWarmWork(double work, double warmServers) {
        workPerSecond += work / (DECAY_MICROS / SECOND) / warmServers;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /**
     * Returns the work per second at a warm server, in microseconds. Soon after start-up it is the mean over the time
     * since then.
     */
    double workPerWarmServer() {
        return workPerSecond / (1 - StrictMath.exp(-Math.max(SECOND, context.now - context.startedAt) / DECAY_MICROS));
    }
}
