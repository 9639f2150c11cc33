package reedmux.gatekeeper.failover;

import reedmux.gatekeeper.failover.RemoteRejection.RemoteRejectionReason;

/**
 * Admission control for the requests of other regions. Local consumers have priority: while too many of their requests
 * fail, and during a backoff period afterwards, no remote request is admitted.
 *
 * <p>The limit on remote requests in flight (the window) grows linearly while the local failure rate is low, and is
 * halved when admission closes. If admission closes again soon after it has reopened, the backoff doubles. A region
 * without spare capacity therefore needs only a few remote requests to detect that, and tries again rarely; the
 * drawback is that spare capacity is used only after some seconds.
 */
final class RemoteRequestAdmission {
    /** Retry delay sent to a region when the window is full. */
    private static final long FULL_RETRY_AFTER_MICROS = 500_000;
    /**
     * Retry delay sent to a region whose requests are never admitted; long, because an operator must correct the
     * settings first.
     */
    private static final long MISCONFIGURATION_RETRY_AFTER_MICROS = 10_000_000;
    /** Admission reopens when the failure rate has fallen to this fraction of the rate at which it closes. */
    private static final double REOPEN_FRACTION = 0.5;

    /** Initial window: the number of remote requests that may be in flight. */
    private static final double INITIAL_WINDOW = 2;
    /** Growth of the window per second while the local failure rate is low. */
    private static final double WINDOW_GROWTH_PER_SECOND = 2;
    /** Maximum number of times that the backoff is doubled. */
    private static final int MAX_DOUBLINGS = 5;
    /** Admission counts as closing again if it closes within this multiple of the last backoff after reopening. */
    private static final int RECLOSE_BACKOFF_MULTIPLE = 4;

    private static final double MICROS_PER_SECOND = 1e6;

    private final LocalServiceHealth localHealth = new LocalServiceHealth();
    private final TokenBucket unitBudget;
    private final int gatekeepers;
    private FailoverRules rules;
    private int inFlight;
    private long closedUntil = Long.MIN_VALUE;
    /** Duration of the last backoff; 0 if admission has never closed. */
    private long lastBackoffMicros;

    private int doublings;
    /** Maximum number of remote requests in flight at present. */
    private double window = INITIAL_WINDOW;

    private long windowUpdatedAt;

    RemoteRequestAdmission(FailoverRules rules, int gatekeepers, long now) {
        this.gatekeepers = gatekeepers;
        this.rules = rules;
        unitBudget = new TokenBucket(
                rules.remoteLimits().unitsPerSecond() / gatekeepers,
                rules.remoteLimits().burstUnits() / gatekeepers,
                now);
        windowUpdatedAt = now;
    }

    void applyRules(FailoverRules newRules, long now) {
        rules = newRules;
        unitBudget.setLimits(
                newRules.remoteLimits().unitsPerSecond() / gatekeepers,
                newRules.remoteLimits().burstUnits() / gatekeepers,
                now);
    }

    /** Records the end of a request from a local consumer. */
    void onLocalRequestEnded(long now, boolean servedInTime) {
        localHealth.record(now, servedInTime);
        if (!servedInTime) {
            updateState(now);
        }
    }

    /** Closes admission, extends the backoff or grows the window, depending on the current local failure rate. */
    private void updateState(long now) {
        boolean closed = now < closedUntil;
        double limit = rules.remoteLimits().closeAtFailureRate() * (closed ? REOPEN_FRACTION : 1);
        boolean healthy = localHealth.failureRate(now) <= limit;
        if (healthy && !closed) {
            growWindow(now);
        } else if (!healthy && closed) {
            closedUntil = Math.max(closedUntil, now + rules.remoteLimits().minBackoffMicros());
        } else if (!healthy) {
            close(now);
        }
        windowUpdatedAt = now;
    }

    private void growWindow(long now) {
        double growth = WINDOW_GROWTH_PER_SECOND * (now - windowUpdatedAt) / MICROS_PER_SECOND;
        window = Math.min(rules.remoteLimits().maxConcurrent(), window + growth);
    }

    private void close(long now) {
        boolean closedRecently =
                lastBackoffMicros > 0 && now - closedUntil < RECLOSE_BACKOFF_MULTIPLE * lastBackoffMicros;
        doublings = closedRecently ? Math.min(MAX_DOUBLINGS, doublings + 1) : 0;
        lastBackoffMicros = rules.remoteLimits().minBackoffMicros() << doublings;
        window = Math.max(1, window / 2);
        closedUntil = Math.max(closedUntil, now + lastBackoffMicros);
    }

    /** Admits a remote request and returns null, or returns the rejection. */
    RemoteRejection admit(long now, RegionPath path, double units) {
        if (path.regions().size() != 1 || path.regions().contains(rules.name())) {
            return new RemoteRejection(RemoteRejectionReason.TRAVELLED, MISCONFIGURATION_RETRY_AFTER_MICROS);
        } else if (!rules.acceptsFrom().contains(path.lastHop())) {
            return new RemoteRejection(RemoteRejectionReason.STRANGER, MISCONFIGURATION_RETRY_AFTER_MICROS);
        }
        updateState(now);
        if (now < closedUntil) {
            return new RemoteRejection(RemoteRejectionReason.SUFFERING, closedUntil - now);
        } else if (inFlight >= Math.min(rules.remoteLimits().maxConcurrent(), (int) window)) {
            return new RemoteRejection(RemoteRejectionReason.FULL, FULL_RETRY_AFTER_MICROS);
        } else if (!unitBudget.hasUnits(units, now)) {
            return new RemoteRejection(RemoteRejectionReason.RATE, unitBudget.microsUntil(units, now));
        }
        unitBudget.consume(units);
        inFlight++;
        return null;
    }

    void onRemoteRequestEnded() {
        inFlight--;
    }

    int inFlight() {
        return inFlight;
    }
}
