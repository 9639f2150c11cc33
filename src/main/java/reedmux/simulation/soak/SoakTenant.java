package reedmux.simulation.soak;

import java.util.List;

/**
 * A tenant of the soak, with its request rate, its quota and the counts of its responses. All rates are in requests per
 * second.
 */
final class SoakTenant {
    /** The usual quota of a tenant, as a multiple of its usual request rate. */
    private static final double QUOTA_SHARE = 1.6;
    /** The time after a surge, in microseconds, in which requests may still be refused because of the surge. */
    private static final long SURGE_AFTERMATH_MICROS = 3_000_000;

    private final String name;
    private final double usualRate;
    /** The proxies that this tenant's clients connect to; a surge may be sent to all proxies instead. */
    private final List<SoakMachine> proxies;

    private double quotaRate;
    private double demandFactor = 1;
    private long surgeUntil = Long.MIN_VALUE;
    private boolean surgeAtAllProxies;
    private int requestsWithinQuota;
    private int refusedWithinQuota;

    SoakTenant(String name, double usualRate, List<SoakMachine> proxies) {
        this.name = name;
        this.usualRate = usualRate;
        this.proxies = proxies;
        quotaRate = QUOTA_SHARE * usualRate;
    }

    String name() {
        return name;
    }

    String key() {
        return "key-of-" + name + '.';
    }

    double usualRate() {
        return usualRate;
    }

    /** The rate of the quota, which is also its burst. */
    double quotaRate() {
        return quotaRate;
    }

    void setQuotaRate(double rate) {
        quotaRate = rate;
    }

    double usualQuotaRate() {
        return QUOTA_SHARE * usualRate;
    }

    /** Multiplies the request rate by {@code factor} until the given time. */
    void surge(double factor, boolean atAllProxies, long until) {
        demandFactor = factor;
        surgeAtAllProxies = atAllProxies;
        surgeUntil = until;
    }

    double demand(long now) {
        return now < surgeUntil ? usualRate * demandFactor : usualRate;
    }

    /** The proxies that requests are sent to at the given time. */
    List<SoakMachine> proxies(List<SoakMachine> all, long now) {
        return now < surgeUntil && surgeAtAllProxies ? all : proxies;
    }

    /**
     * Counts a response if the tenant was within its quota when the request was sent, that is, if there was no surge at
     * {@code sentAt} or shortly before and the quota is not below its usual value.
     */
    void countResponse(long sentAt, boolean refused) {
        if (sentAt > surgeUntil + SURGE_AFTERMATH_MICROS && quotaRate >= usualQuotaRate()) {
            requestsWithinQuota++;
            refusedWithinQuota += refused ? 1 : 0;
        }
    }

    int requestsWithinQuota() {
        return requestsWithinQuota;
    }

    int refusedWithinQuota() {
        return refusedWithinQuota;
    }
}
