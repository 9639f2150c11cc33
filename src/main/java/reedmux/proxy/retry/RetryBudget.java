package reedmux.proxy.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries and hedged attempts of one proxy. All proxies together may add a given ratio of the requests plus
 * a fixed slack. Each proxy has an equal share of the slack and earns the ratio with its own requests.
 *
 * <p>Each service has a token bucket: a first attempt adds a fraction of a token, a retry or hedged attempt takes one
 * token, and the capacity is the proxy's share of the slack. A restarted proxy starts with empty buckets, because the
 * previous process may have used the share shortly before.
 *
 * <p>Deterministic. Not thread-safe.
 */
public final class RetryBudget {
    /**
     * Fraction of the allowance that is used. A smaller value wastes retries; a larger value risks that the checkers
     * count more retries than the allowance permits.
     */
    private static final double USABLE_FRACTION = 0.8;

    private double ratio;
    private double slack;
    private final boolean restarted;
    private final Map<String, Double> tokens = new HashMap<>();
    private int memberCount = 1;

    /**
     * Creates the budget of a proxy that is the only member.
     *
     * @param ratio     retries per request, for all proxies together
     * @param slack     additional retries, for all proxies together
     * @param restarted whether another process of this node may have used part of the budget shortly before
     */
    public RetryBudget(double ratio, double slack, boolean restarted) {
        this.ratio = ratio;
        this.slack = slack;
        this.restarted = restarted;
    }

    /** Changes the retry ratio and the slack of all proxies together. */
    public void setLimits(double nextRatio, double nextSlack) {
        ratio = nextRatio;
        slack = nextSlack;
        setMemberCount(memberCount);
    }

    /** Sets the number of proxies that share the slack. Tokens above the new capacity are discarded. */
    public void setMemberCount(int count) {
        memberCount = Math.max(1, count);
        tokens.replaceAll((service, available) -> Math.min(available, maxTokens()));
    }

    private double maxTokens() {
        return Math.max(1, USABLE_FRACTION * slack / memberCount);
    }

    private double tokensOf(String service) {
        return tokens.computeIfAbsent(service, name -> restarted ? 0.0 : maxTokens() / 2);
    }

    /** Records the first attempt of a request to a service, which adds a fraction of a token. */
    public void onFirstAttempt(String service) {
        tokens.put(service, Math.min(maxTokens(), tokensOf(service) + USABLE_FRACTION * ratio));
    }

    /** Takes a token for one retry or hedged attempt; returns whether a token was available. */
    public boolean tryAcquire(String service) {
        double available = tokensOf(service);
        if (available < 1) {
            return false;
        }
        tokens.put(service, available - 1);
        return true;
    }

    /** Returns whether a token is available and at least {@code reserve} tokens would remain after taking it. */
    public boolean canAcquire(String service, double reserve) {
        return tokensOf(service) >= 1 + reserve;
    }
}
