package reedmux.proxy.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the retries and hedged attempts of one proxy. All proxies together may add a ratio of the requests and a fixed
 * slack; each has an equal share of the slack and earns the ratio by its own requests. A token bucket for each service:
 * a first attempt adds a fraction of a token, a retry takes one, and the capacity is the share of the slack. A
 * restarted proxy begins with empty buckets, as it may have used its share just before.
 *
 * <p>Deterministic; for one thread.
 */
public final class RetryBudget {
    /** How much of the allowance is used: less wastes retries, more risks that checkers count beyond the allowance. */
    private static final double USABLE_FRACTION = 0.8;

    private double ratio;
    private double slack;
    private final boolean restarted;
    private final Map<String, Double> tokens = new HashMap<>();
    private int memberCount = 1;

    /**
     * A budget for one proxy alone.
     *
     * @param ratio     retries per request, of all proxies together
     * @param slack     retries beyond that, of all proxies together
     * @param restarted whether another process of this node may have used some of it shortly before
     */
    public RetryBudget(double ratio, double slack, boolean restarted) {
        this.ratio = ratio;
        this.slack = slack;
        this.restarted = restarted;
    }

    /** Changes what all proxies together may add from now on. */
    public void setLimits(double nextRatio, double nextSlack) {
        ratio = nextRatio;
        slack = nextSlack;
        setMemberCount(memberCount);
    }

    /** Sets among how many proxies the slack is shared; full buckets lose what is beyond the new capacity. */
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

    /** A request goes to a service for the first time, which earns a fraction of a retry. */
    public void onFirstAttempt(String service) {
        tokens.put(service, Math.min(maxTokens(), tokensOf(service) + USABLE_FRACTION * ratio));
    }

    /** Takes a token for one retry or hedged attempt, and returns whether there was one. */
    public boolean tryAcquire(String service) {
        double available = tokensOf(service);
        if (available < 1) {
            return false;
        }
        tokens.put(service, available - 1);
        return true;
    }

    /** Whether a token could be taken and {@code reserve} tokens would be left. */
    public boolean canAcquire(String service, double reserve) {
        return tokensOf(service) >= 1 + reserve;
    }
}
