package reedmux.simulation.soak;

import java.util.List;

/**
 * A tenant of the soak: what it asks for, what its quota allows, and what became of its requests. Rates are requests a
 * second.
 */
final class SoakTenant {
    /** A tenant's quota in relation to what it usually asks for. */
    private static final double QUOTA_SHARE = 1.6;
    /** Requests that a tenant without a surge has had refused lately may still be the surge's. */
    private static final long SURGE_AFTERMATH_MICROS = 3_000_000;

    private final String name;
    private final double usualRate;
    /** Where its clients connect to; a surge may come from anywhere. */
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

    /** The rate and the burst of its quota, which are the same number. */
    double quotaRate() {
        return quotaRate;
    }

    void setQuotaRate(double rate) {
        quotaRate = rate;
    }

    double usualQuotaRate() {
        return QUOTA_SHARE * usualRate;
    }

    /** It asks for many times its usual until a time. */
    void surge(double factor, boolean atAllProxies, long until) {
        demandFactor = factor;
        surgeAtAllProxies = atAllProxies;
        surgeUntil = until;
    }

    double demand(long now) {
        return now < surgeUntil ? usualRate * demandFactor : usualRate;
    }

    /** The proxies that its requests reach now. */
    List<SoakMachine> proxies(List<SoakMachine> all, long now) {
        return now < surgeUntil && surgeAtAllProxies ? all : proxies;
    }

    /** Counts a response to a request that was sent at {@code sentAt}, if the quota had room for all then. */
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
