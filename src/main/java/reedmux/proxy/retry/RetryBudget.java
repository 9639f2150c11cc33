package reedmux.proxy.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * How many further tries one proxy may make: its part of what all may make together, which is a ratio of the
 * requests and a slack in every window. A token bucket for each service, filled by the proxy's own
 * requests; what it may hold is the proxy's part of the slack, and a restarted one begins with nothing. Pure.
 */
public final class RetryBudget {
    /** Of what is allowed; the rest is for what is counted differently elsewhere. */
    private static final double USABLE_FRACTION = 0.8;

    private double ratio;
    private double slack;
    private final boolean restarted;
    private final Map<String, Double> tokens = new HashMap<>();
    private int memberCount = 1;

    public RetryBudget(double ratio, double slack, boolean restarted) {
        this.ratio = ratio;
        this.slack = slack;
        this.restarted = restarted;
    }

    /** What all proxies together may do from now on. */
    public void setLimits(double nextRatio, double nextSlack) {
        ratio = nextRatio;
        slack = nextSlack;
        setMemberCount(memberCount);
    }

    public void setMemberCount(int count) {
        memberCount = Math.max(1, count);
        tokens.replaceAll((service, held) -> Math.min(held, maxTokens()));
    }

    private double maxTokens() {
        return Math.max(1, USABLE_FRACTION * slack / memberCount);
    }

    private double tokensOf(String service) {
        return tokens.computeIfAbsent(service, name -> restarted ? 0.0 : maxTokens() / 2);
    }

    /** A request goes to a service for the first time. */
    public void onFirstAttempt(String service) {
        tokens.put(service, Math.min(maxTokens(), tokensOf(service) + USABLE_FRACTION * ratio));
    }

    /** Takes leave for one further try. */
    public boolean tryAcquire(String service) {
        double held = tokensOf(service);
        if (held < 1) {
            return false;
        }
        tokens.put(service, held - 1);
        return true;
    }

    /** Whether there is leave for one, with so much to spare. */
    public boolean canAcquire(String service, double spare) {
        return tokensOf(service) >= 1 + spare;
    }
}
