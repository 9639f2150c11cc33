package reedmux.gatekeeper.policy;

/** Moving averages of what this gateway sends: requests a second, and work a second at each warm server. */
final class SendRate {
    private static final double SECOND = PolicyContext.MICROS_PER_SECOND;
    /** Time constant of both averages. */
    private static final double DECAY_MICROS = 5 * SECOND;

    private final PolicyContext context;
    private double requestsPerSecond;
    private double workPerSecond;
    private long updatedAt;

    SendRate(PolicyContext context) {
        this.context = context;
    }

    /** An attempt is sent now. */
    void onSent() {
        double decay = Math.exp(-(context.now - updatedAt) / DECAY_MICROS);
        updatedAt = context.now;
        workPerSecond *= decay;
        requestsPerSecond = requestsPerSecond * decay + SECOND / DECAY_MICROS;
    }

    /** The attempt just sent is so much work, in microseconds, for one of so many warm servers. */
    void onWarmWork(double work, double warmServers) {
        workPerSecond += work / (DECAY_MICROS / SECOND) / warmServers;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Work a second at a warm server, in microseconds; soon after the start the mean over the time since then. */
    double workPerWarmServer() {
        return workPerSecond / (1 - Math.exp(-Math.max(SECOND, context.now - context.startedAt) / DECAY_MICROS));
    }
}
