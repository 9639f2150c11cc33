package reedmux.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * How many further tries one proxy may make: its part of what all may make together, which is a ratio of the
 * requests and a slack in every window. A token bucket for each service, filled by the proxy's own
 * requests; what it may hold is the proxy's part of the slack, and a restarted one begins with nothing. Pure.
 */
public final class RetryBudget {
    /** Of what is allowed; the rest is for what is counted differently elsewhere. */
    private static final double USED = 0.8;

    private double ratio;
    private double slack;
    private final boolean restarted;
    private final Map<String, Double> tokens = new HashMap<>();
    private int members = 1;

    public RetryBudget(double ratio, double slack, boolean restarted) {
        this.ratio = ratio;
        this.slack = slack;
        this.restarted = restarted;
    }

    /** What all proxies together may do from now on. */
    public void limits(double nextRatio, double nextSlack) {
        ratio = nextRatio;
        slack = nextSlack;
        members(members);
    }

    public void members(int count) {
        members = Math.max(1, count);
        tokens.replaceAll((service, held) -> Math.min(held, most()));
    }

    private double most() {
        return Math.max(1, USED * slack / members);
    }

    private double held(String service) {
        return tokens.computeIfAbsent(service, name -> restarted ? 0.0 : most() / 2);
    }

    /** A request goes to a service for the first time. */
    public void first(String service) {
        tokens.put(service, Math.min(most(), held(service) + USED * ratio));
    }

    /** Takes leave for one further try. */
    public boolean take(String service) {
        double held = held(service);
        if (held < 1) {
            return false;
        }
        tokens.put(service, held - 1);
        return true;
    }

    /** Whether there is leave for one, with so much to spare. */
    public boolean has(String service, double spare) {
        return held(service) >= 1 + spare;
    }
}
