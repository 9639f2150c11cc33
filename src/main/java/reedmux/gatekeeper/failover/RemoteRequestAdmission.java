package reedmux.gatekeeper.failover;

import reedmux.gatekeeper.failover.RemoteRejection.RemoteRejectionReason;

/**
 * Admission control for the requests of other regions. Our own consumers come first: while too many of their requests
 * fail, and for a while after, no remote request is admitted.
 *
 * <p>The window of remote requests in flight grows linearly while the local failure rate is low and is halved when
 * admission closes. If it closes again soon after it was opened, the time that it stays closed doubles. So a region
 * without spare capacity finds out with few remote requests and tries seldom; the price is that spare capacity is used
 * only after some seconds.
 */
final class RemoteRequestAdmission {
    /** Advice to a region that found the window full. */
    private static final long FULL_RETRY_AFTER_MICROS = 500_000;
    /** Advice to a region whose requests are never admitted: somebody has to correct the settings first. */
    private static final long MISCONFIGURATION_RETRY_AFTER_MICROS = 10_000_000;
    /** Admission opens again below this fraction of the failure rate at which it closes. */
    private static final double REOPEN_FRACTION = 0.5;

    /** Remote requests in flight that are allowed at the start. */
    private static final double INITIAL_WINDOW = 2;
    /** How many more are allowed after each second with a low failure rate. */
    private static final double WINDOW_GROWTH_PER_SECOND = 2;
    /** How often the time that admission stays closed is doubled at most. */
    private static final int MAX_DOUBLINGS = 5;
    /** Closing within so many of the last closed times after opening counts as closing again. */
    private static final int RECLOSE_BACKOFF_MULTIPLE = 4;

    private static final double MICROS_PER_SECOND = 1e6;

    private final LocalServiceHealth localHealth = new LocalServiceHealth();
    private final TokenBucket unitBudget;
    private final int gatekeepers;
    private FailoverRules rules;
    private int inFlight;
    private long closedUntil = Long.MIN_VALUE;
    /** How long admission stayed closed the last time; 0 before the first. */
    private long lastBackoffMicros;

    private int doublings;
    /** Remote requests that may be in flight. */
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

    /** A request of our own consumers has ended, served in time or not. */
    void onLocalRequestEnded(long now, boolean servedInTime) {
        localHealth.record(now, servedInTime);
        if (!servedInTime) {
            updateState(now);
        }
    }

    /** Opens, closes or keeps closed, by the local failure rate now. */
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

    /** Admits a remote request and returns null, or the reason why not. */
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
