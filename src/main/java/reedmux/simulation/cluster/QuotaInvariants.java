package reedmux.simulation.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the executions of each tenant against its quota. In any window of five seconds, all proxies together may admit
 * what the rate and the burst allow, plus a tenth, plus twenty requests. A raised limit applies as soon as it is sent.
 * A lowered one applies one window after all proxies are in contact at least two seconds after its acknowledgement.
 * Times are microseconds.
 */
final class QuotaInvariants {
    private static final long SECOND = 1_000_000;
    /** Length of the sliding window in which executions are counted. */
    private static final long WINDOW_MICROS = 5 * SECOND;
    /** How long after the acknowledgement of a lowered limit proxies in contact are expected to use it. */
    private static final long SETTLE_MICROS = 2 * SECOND;
    /** The permitted factor over what the rate and the burst allow in a window. */
    private static final double OVERSHOOT = 1.1;
    /** Number of executions permitted in each window on top of {@link #OVERSHOOT}. */
    private static final double SLACK = 20;

    private static final long NEVER = Long.MAX_VALUE;

    /** Limits that may still be in force; they expire once all proxies are known to use newer ones. */
    private static final class Limits {
        private final double maxExecutions;
        private long replacedAt = NEVER;
        private long validUntil = NEVER;

        private Limits(double maxExecutions) {
            this.maxExecutions = maxExecutions;
        }
    }

    private final Map<String, List<Limits>> limits = new HashMap<>();
    /** One execution of a request; idempotent requests may be executed more than once. */
    private record Execution(String request, long at) {}

    private final Map<String, Deque<Execution>> executions = new HashMap<>();
    /** Descriptions of the worst window of each tenant that exceeded its quota. */
    private final Map<String, String> worstWindows = new TreeMap<>();

    private final Map<String, Double> worstShares = new HashMap<>();
    private double defaultMaxExecutions;

    /** Sets the quota of tenants without their own limits: a rate in requests per second and a burst in requests. */
    void setDefaultLimits(double rate, double burst) {
        defaultMaxExecutions = maxExecutions(rate, burst);
    }

    /** Records that a change of a tenant's limits is sent now. */
    void onLimitsSent(String tenant, double rate, double burst) {
        limits.computeIfAbsent(tenant, name -> new ArrayList<>()).add(new Limits(maxExecutions(rate, burst)));
    }

    /** Records that the last limits sent for a tenant are acknowledged. */
    void onLimitsAcknowledged(String tenant, long now) {
        List<Limits> all = limits.get(tenant);
        all.subList(0, all.size() - 1).forEach(former -> former.replacedAt = Math.min(former.replacedAt, now));
    }

    /** Expires replaced limits; to be called when all proxies are in contact. */
    void onAllInContact(long now) {
        for (List<Limits> all : limits.values()) {
            for (Limits former : all) {
                if (former.replacedAt != NEVER && former.replacedAt + SETTLE_MICROS <= now) {
                    former.validUntil = Math.min(former.validUntil, now + WINDOW_MICROS);
                }
            }
            all.removeIf(former -> former.validUntil < now);
        }
    }

    /** Records that a checker begins to execute a request of a tenant, and updates the worst window. */
    void onExecuted(String tenant, String request, long now) {
        double allowed = maxExecutions(tenant);
        if (allowed <= 0) {
            return;
        }
        Deque<Execution> window = executions.computeIfAbsent(tenant, name -> new ArrayDeque<>());
        window.add(new Execution(request, now));
        while (window.peek().at() < now - WINDOW_MICROS) {
            window.poll();
        }
        double share = window.size() / allowed;
        if (share > worstShares.getOrDefault(tenant, 0.0)) {
            worstShares.put(tenant, share);
            if (share > 1) {
                worstWindows.put(tenant, describe(tenant, window, allowed));
            }
        }
    }

    private static String describe(String tenant, Deque<Execution> window, double allowed) {
        long requests = window.stream().map(Execution::request).distinct().count();
        return window.size() + " executions of " + tenant + " in 5 s, " + (long) allowed
                + " allowed, in the window until " + window.peekLast().at() / 1000 + " ms; " + requests
                + " distinct requests";
    }

    private double maxExecutions(String tenant) {
        List<Limits> own = limits.get(tenant);
        return own == null
                ? defaultMaxExecutions
                : own.stream().mapToDouble(each -> each.maxExecutions).max().orElse(0);
    }

    private static double maxExecutions(double rate, double burst) {
        return (rate * WINDOW_MICROS / SECOND + burst) * OVERSHOOT + SLACK;
    }

    /** Returns the highest ratio of executed to allowed requests that any tenant reached in a window. */
    double worstShare() {
        return worstShares.values().stream().mapToDouble(share -> share).max().orElse(0);
    }

    /** Returns descriptions of the worst windows of the tenants that exceeded their quota. */
    List<String> violations() {
        return List.copyOf(worstWindows.values());
    }
}
