package reedmux.gatekeeper.failover;

import reedmux.gatekeeper.failover.RemoteRejection.RemoteRejectionReason;

/**
 * Whether a request that another region sends is taken in. Own consumers come first: while they are not
 * served as they should be, and for a while after, nobody else is. How many visitors may be here at once
 * grows by the second while own service is well and is halved when it suffers; and where it suffers again
 * soon after each opening, the pauses between get longer. So a region that has no room to spare finds that
 * out with few visitors and asks rarely, at the cost of some seconds until a region that has room is used.
 */
final class RemoteRequestAdmission {
    /** Microseconds after which one that found us full may come again. */
    private static final long FULL_RETRY_AFTER_MICROS = 500_000;
    /** Advice to one that may never come: it is a fault in the settings, which somebody must mend. */
    private static final long MISCONFIGURATION_RETRY_AFTER_MICROS = 10_000_000;
    /** Share of the bound under which own service must fall before visitors are taken in again. */
    private static final double REOPEN_FRACTION = 0.5;

    /** Visitors at once at the start, and how many more a second while own service is well. */
    private static final double INITIAL_WINDOW = 2;

    private static final double WINDOW_GROWTH_PER_SECOND = 2;
    /** How often a pause is doubled, and for how many pauses after an opening it counts as again. */
    private static final int MAX_DOUBLINGS = 5;

    private static final int RECLOSE_BACKOFFS = 4;

    private final LocalServiceHealth localHealth = new LocalServiceHealth();
    private final TokenBucket unitBudget;
    private final int gatekeepers;
    private FailoverRules rules;
    private int inFlight;
    private long closedUntil = Long.MIN_VALUE;
    private long backoffMicros;
    private int doublings;
    private double window = INITIAL_WINDOW;
    private long windowUpdatedAt;

    RemoteRequestAdmission(FailoverRules rules, int members, long now) {
        this.gatekeepers = members;
        this.rules = rules;
        unitBudget = new TokenBucket(
                rules.remoteLimits().unitsPerSecond() / members,
                rules.remoteLimits().burstUnits() / members,
                now);
        windowUpdatedAt = now;
    }

    void applyRules(FailoverRules told, long now) {
        rules = told;
        unitBudget.setLimits(
                told.remoteLimits().unitsPerSecond() / gatekeepers,
                told.remoteLimits().burstUnits() / gatekeepers,
                now);
    }

    /** One of our own consumers' requests has ended, or our providers could not take it. */
    void onLocalRequestEnded(long now, boolean good) {
        localHealth.record(now, good);
        if (!good) {
            updateState(now);
        }
    }

    private void updateState(long now) {
        boolean closed = now < closedUntil;
        if (localHealth.failureRate(now)
                <= rules.remoteLimits().closeAtFailureRate() * (closed ? REOPEN_FRACTION : 1)) {
            if (!closed) {
                window = Math.min(
                        rules.remoteLimits().maxConcurrent(),
                        window + WINDOW_GROWTH_PER_SECOND * (now - windowUpdatedAt) / 1e6);
            }
            windowUpdatedAt = now;
            return;
        }
        windowUpdatedAt = now;
        if (!closed) {
            boolean again = backoffMicros > 0 && now - closedUntil < RECLOSE_BACKOFFS * backoffMicros;
            doublings = again ? Math.min(MAX_DOUBLINGS, doublings + 1) : 0;
            backoffMicros = rules.remoteLimits().holdMicros() << doublings;
            window = Math.max(1, window / 2);
        }
        closedUntil = Math.max(closedUntil, now + (closed ? rules.remoteLimits().holdMicros() : backoffMicros));
    }

    /** Takes in a visitor and returns null, or says why not. */
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
        } else if (!unitBudget.holds(units, now)) {
            return new RemoteRejection(RemoteRejectionReason.RATE, unitBudget.microsUntil(units, now));
        }
        unitBudget.take(units);
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
